#!/usr/bin/env python3
"""Runs the platform's program as processes against stand-ins of the platform.

Guards against the failures found on the users' bench, without the bench: flows that reach
two servers, a configuration that stays unnoticed, balancers without services during an
outage, new flows at a leaving server, packets of another service.
"""

import http.client
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "hosted"))
import standins  # noqa: E402

BINARIES = os.environ.get("DP_BINARY_DIR", "build")
PROGRAM = os.path.join(BINARIES, "dogwoodpaddle-platform")
REPORTS = ("198.18.0.1", 443, "darbnica", "non_idempotent")
MANUALS = ("198.18.0.2", 443, "rokasgramata", "download")
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
SEPARATE = ["test_waiting_syn_and_older_copy"]  # run by test_hosted_waiting_syn.sh
# Counter of a companion: SYNs that it holds, and retransmissions of these.
WAITING_PACKETS = 'dogwoodpaddle_packets_total{reason="waiting"}'


def check(condition, text):
    if not condition:
        raise AssertionError(text)


def start(site, n_balancers=2, n_servers=3, **options):
    site.configure([REPORTS, MANUALS])
    for _ in range(n_balancers):
        site.add_balancer()
    for _ in range(n_servers):
        site.add_server("darbnica", **options)
    site.add_server("rokasgramata", answer=b"m" * 40000)
    site.wait_ready()


def ask(client, route, n, tag, spacing=0.005):
    flows = []
    for i in range(n):
        flows.append(client.start(route[:2], f"{tag}-{i}".encode()))
        client.run(time.monotonic() + spacing)
    return flows


def finish(client, flows, timeout=8.0):
    client.run(time.monotonic() + timeout, flows)
    return [f["result"] for f in flows]


def check_servers(site):
    runs = [request for server in site.servers for _, request, _ in server.runs]
    check(len(runs) == len(set(runs)), "a request ran twice")
    for server in site.servers:
        check(not server.violations, f"{server.identity}: {server.violations[:3]}")
        for key, _, _ in server.runs:
            check((*key[1], server.service) in site.declared,
                  f"{server.identity} ran a request of {key[1]}")


def test_every_packet_takes_any_balancer(site):
    start(site)
    client = site.client()
    flows = ask(client, REPORTS, 150, "report") + ask(client, MANUALS, 5, "manual", 0.05)
    results = finish(client, flows)
    check(results == ["ok"] * len(flows), f"results {set(results)}")
    check(all(server.runs for server in site.servers), "a server got no flow")


def test_companion_killed_during_flows(site):
    start(site, n_servers=1, work_s=0.6)
    client = site.client()
    flows = ask(client, REPORTS, 2, "report")
    client.run(time.monotonic() + 0.2)
    site.companions[0].kill()
    site.companions[0].start()
    results = finish(client, flows)
    check(results == ["ok", "ok"], f"results {results}")


def test_companion_restarted_by_a_signal(site):
    start(site, work_s=0.1)
    client = site.client()
    flows = ask(client, REPORTS, 4, "report")
    check(site.companions[0].stop() == 0, "exit status")
    site.companions[0].start()
    flows += ask(client, REPORTS, 20, "later", 0.02)
    results = finish(client, flows)
    check(results == ["ok"] * len(flows), f"results {set(results)}")


def test_balancer_killed_during_flows(site):
    start(site, work_s=0.3)
    client = site.client()
    flows = ask(client, REPORTS, 6, "report")
    client.run(time.monotonic() + 0.1)
    site.balancers[0].kill()
    client.balancers = [site.balancers[1].settings["ip"]]
    results = finish(client, flows)
    check(results == ["ok"] * len(flows), f"results {results}")


def test_leaving_server_gets_no_new_flow(site):
    """Also while the store is down."""
    start(site)
    site.store.set_down(True)
    leaving = site.servers[0]
    leaving.state = "draining"
    client = site.client()
    client.run(time.monotonic() + 0.5)
    check(leaving.acknowledged_at is not None, "no acknowledgement")
    flows = ask(client, REPORTS, 60, "report", 0.02)
    results = finish(client, flows)
    check(results == ["ok"] * len(flows), f"results {set(results)}")
    late = [t for _, t in leaving.syns if t > leaving.acknowledged_at + DRAIN_S / 10]
    check(not late, f"{len(late)} new flows after the acknowledgement")


def post_heartbeat(server, identity, body):
    connection = http.client.HTTPConnection(server.ip, standins.ANNOUNCE_PORT, timeout=1)
    connection.request("POST", f"/instances/{identity}/heartbeat", body,
                       {"Content-Type": "application/json"})
    return connection.getresponse().status


def send_heartbeat(server, identity, **changes):
    """A heartbeat of another writer; a change to None leaves the field out."""
    body = {"service": server.service, "address": f"{server.ip}:{standins.SERVER_PORT}",
            "zone": server.zone, "version": "v1", "slots": 4, "state": "ready",
            "warmup_left_ms": 0, "sequence": 1, "born": int(time.time() * 1000)}
    body.update(changes)
    body = {key: value for key, value in body.items() if value is not None}
    return post_heartbeat(server, identity, json.dumps(body))


def test_heartbeat_with_hidden_nesting(site):
    """A quote in a comment hid the brackets after it, and the parser ended the process."""
    start(site, n_servers=1)
    server = site.servers[0]
    for beginning in ("", "/*\"*/", "//\"\n", "'\"'", "#\"\n", '{"service":/*"*/'):
        for bracket in ("[", '{"a":'):
            status = post_heartbeat(server, "i-other", beginning + bracket * (60000 // len(bracket)))
            check(status == 400, f"{beginning} was answered with {status}")
    check(site.companions[0].process.poll() is None, "the companion ended")


def test_spoilt_registration_is_repaired(site):
    """The registration of a balancer stayed as another writer had left it, so that members
    that started later did not report to the balancer."""
    start(site, n_balancers=2, n_servers=1)
    name = site.balancers[0].name
    good = site.store.objects["balancers", name]["spec"]
    nested = []
    for _ in range(100):
        nested = [nested]
    for odd in (None, 7, [], nested, {"a": nested}, {**good, "data_port": 65536},
                {**good, "ip": None}, {**good, "zone": nested},
                {**good, "data_port": -1, "incarnation": 10**40},
                {**good, "control_port": "x", "incarnation": 2**63 - 1}):
        site.store.put("balancers", name, {} if odd is None else odd)
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            spec = site.store.objects["balancers", name]["spec"]
            if isinstance(spec, dict) and {**spec, "incarnation": 0} == {**good,
                                                                         "incarnation": 0}:
                break
            time.sleep(0.05)
        else:
            raise AssertionError(f"{str(odd)[:200]} stayed in the store")
        check(0 <= spec["incarnation"] < 2**63, f"incarnation {spec['incarnation']}")
    site.add_server("darbnica")
    client = site.client()
    client.run(time.monotonic() + 1.5)
    results = finish(client, ask(client, REPORTS, 12, "report"))
    check(results == ["ok"] * 12, f"results {set(results)}")
    check(all(s.runs for s in site.servers if s.service == "darbnica"),
          "a server got no request")


def test_draining_server_is_not_revived_by_another_writer(site):
    """A heartbeat without an address put a draining server back into service."""
    start(site, n_servers=3)
    client = site.client()
    leaving = site.servers[0]
    finish(client, ask(client, REPORTS, 9, "before"))
    leaving.state = "draining"
    while leaving.acknowledged_at is None:
        client.run(time.monotonic() + 0.05)
    client.run(time.monotonic() + 0.5)
    n_syns = len(leaving.syns)
    for i, changes in enumerate(({"address": None}, {"zone": None}, {"version": None},
                                 {"address": f"{leaving.ip}:1"}, {"address": 7},
                                 {"zone": 7})):
        status = send_heartbeat(leaving, "i-other", **changes)
        check(status == 400, f"a heartbeat with {changes} was answered with {status}")
        results = finish(client, ask(client, REPORTS, 6, f"change-{i}"))
        check(results == ["ok"] * 6, f"results {set(results)}")
    check(len(leaving.syns) == n_syns, "a draining server got new flows")
    leaving.state = "ready"
    client.run(time.monotonic() + 0.5)
    finish(client, ask(client, REPORTS, 12, "after"))
    check(len(leaving.syns) > n_syns, "the server itself is not heard any more")


def test_signed_off_server_is_gone(site):
    """Its host, which ends soon, must not stay on the way of packets that are searched."""
    start(site)
    leaving, companion = site.servers[0], site.companions[0]
    leaving.state = "draining"
    time.sleep(0.5)
    leaving.stop(sign_off=True)
    time.sleep(0.6)
    name = f"{companion.settings['ip']}:{standins.PACKET_PORT}"
    for balancer in site.balancers:
        check(f"member {name} of service darbnica is gone" in balancer.log(),
              f"{balancer.name} still lists it")


def test_server_returns_syns(site):
    start(site, n_servers=2)
    site.servers[0].taking = False
    client = site.client()
    flows = ask(client, REPORTS, 30, "report", 0.02)
    results = finish(client, flows)
    check(results == ["ok"] * len(flows), f"results {set(results)}")


def test_learned_concurrency(site):
    """Requests that outlast the interval of the heartbeats must count as well."""
    site.arguments = ["--concurrency", "learned"]
    start(site, n_servers=2, work_s=0.35)
    client = site.client()
    flows = ask(client, REPORTS, 16, "report", 0.2)
    results = finish(client, flows)
    check(results == ["ok"] * len(flows), f"results {set(results)}")
    for companion in site.companions[:2]:
        check(companion.metric("dogwoodpaddle_concurrency_limit") >= 1, "no limit")
        times = [companion.metric(f'dogwoodpaddle_service_time_us{{class="{name}"}}')
                 for name in ("urgent", "interactive", "bulk")]
        check(max(times) > 300000, f"service times {times} us")
    for balancer in site.balancers:
        speed = balancer.metric('dogwoodpaddle_member_speed_percent{bound="min"}')
        check(12 <= speed <= 100, f"lowest speed {speed}%")


def test_crashed_server(site):
    """Its clients hear of it, and the address's next incarnation gets no old flow."""
    start(site, n_servers=1, work_s=1.0)
    client = site.client()
    flows = ask(client, REPORTS, 1, "report")
    end = time.monotonic() + 2
    while flows[0]["peer"] is None and time.monotonic() < end:
        client.run(time.monotonic() + 0.05)
    client.run(time.monotonic() + 0.3)
    old = site.servers[0]
    old.stop()
    new = standins.Server(old.ip, old.service, old.zone, old.identity)
    site.servers.append(new)
    client.run(time.monotonic() + 0.5)
    # The client's next packet, as an acknowledgement during a download.
    flow = flows[0]
    client._send(flow, standins.ACK, flow["seq"] + 1 + len(flow["request"]),
                 flow["peer"] + 1)
    results = finish(client, flows)
    check(results == ["reset"], f"results {results}")
    check(not new.runs, "the new incarnation ran a request of the old one's flow")


def test_no_route(site):
    start(site)
    client = site.client()
    flow = client.start(("198.18.0.9", 443), b"nobody")
    client.run(time.monotonic() + 1.0, [flow])
    check(flow["result"] == "reset", f"result {flow['result']}")


def test_changed_configuration(site):
    start(site)
    client = site.client()
    added = ("198.18.0.3", 80, "darbnica", "idempotent")
    site.configure([REPORTS, added])
    client.run(time.monotonic() + 0.5)
    gone = client.start(MANUALS[:2], b"gone")
    new = client.start(added[:2], b"new")
    client.run(time.monotonic() + 2.0, [gone, new])
    check(gone["result"] == "reset", f"removed route: {gone['result']}")
    check(new["result"] == "ok", f"added route: {new['result']}")


def test_compacted_store(site):
    """Found on lgkaa-serviss scale-1: the waiting watch is told nothing of the change."""
    start(site)
    client = site.client()
    added = ("198.18.0.3", 80, "darbnica", "idempotent")
    site.version += 1  # each change of the configuration has a higher one
    site.store.compact(("config", "main", site.configuration([REPORTS, added])))
    client.run(time.monotonic() + CONFIG_APPLY_S - 0.5)
    flow = client.start(added[:2], b"new")
    client.run(time.monotonic() + 1.0, [flow])
    check(flow["result"] == "ok", f"result {flow['result']}")


def start_relay(site):
    """Four balancers of an availability zone; returns the two roots and their children."""
    start(site, n_balancers=4, n_servers=2)
    end = time.monotonic() + 10.0
    while True:
        children = [b for b in site.balancers if is_relayed(b)]
        if len(children) == 2 or time.monotonic() > end:
            break
        time.sleep(0.1)
    check(len(children) == 2, f"{len(children)} balancers rely on another one")
    return [b for b in site.balancers if b not in children], children


def is_relayed(balancer):
    lines = [line for line in balancer.log().splitlines() if '"services: from' in line]
    return bool(lines) and "from another balancer" in lines[-1]


def check_in_force(site, balancers, within_s):
    """Adds a route and asks each balancer for it."""
    added = ("198.18.0.3", 80 + site.version, "darbnica", "idempotent")
    site.configure([REPORTS, MANUALS, added])
    clients = []
    for balancer in balancers:
        client = site.client()
        client.balancers = [balancer.settings["ip"]]
        clients.append(client)
    time.sleep(within_s)
    for balancer, client in zip(balancers, clients):
        check_route(client, added, f"{balancer.name}-{site.version}")


def check_route(client, route, tag):
    flow = client.start(route[:2], tag.encode())
    client.run(time.monotonic() + 1.0, [flow])
    check(flow["result"] == "ok", f"{tag}: {flow['result']}")


def test_configuration_by_relay(site):
    roots, children = start_relay(site)
    before = dict(site.store.reads)
    time.sleep(3.0)
    for child in children:
        key = (child.store_ip, "config")
        check(site.store.reads[key] == before[key], "a child asked the store")
    for root in roots:
        check(site.store.reads[root.store_ip, "config"] > before[root.store_ip, "config"],
              "a root does not watch the store")
    check_in_force(site, site.balancers, 0.3)


def test_frozen_roots(site):
    """Children must not rely on roots that say nothing."""
    roots, children = start_relay(site)
    for root in roots:
        root.process.send_signal(signal.SIGSTOP)
    try:
        check_in_force(site, children, CONFIG_APPLY_S - 0.5)
    finally:
        for root in roots:
            root.process.send_signal(signal.SIGCONT)
    check_in_force(site, site.balancers, 0.5)


def test_killed_roots(site):
    roots, children = start_relay(site)
    for root in roots:
        root.kill()
    check_in_force(site, children, 0.5)
    for root in roots:
        root.start()
    site.wait_ready()
    check_in_force(site, site.balancers, 0.5)


def test_roots_cut_off_from_the_store(site):
    """Roots that live and answer their children, but hear nothing from the store."""
    roots, children = start_relay(site)
    for root in roots:
        site.store.silent.add(root.store_ip)
    time.sleep(0.2)
    check_in_force(site, children, CONFIG_APPLY_S - 0.5)
    site.store.silent.clear()
    time.sleep(1.5)
    check_in_force(site, site.balancers, 0.5)


def test_compacted_store_and_relay(site):
    """The roots' waiting watches are told nothing of the change."""
    start_relay(site)
    added = ("198.18.0.4", 80, "darbnica", "idempotent")
    site.version += 1  # each change of the configuration has a higher one
    site.store.compact(("config", "main", site.configuration([REPORTS, added])))
    time.sleep(CONFIG_APPLY_S - 0.5)
    for balancer in site.balancers:
        client = site.client()
        client.balancers = [balancer.settings["ip"]]
        check_route(client, added, balancer.name)


def test_restart_changes_no_registration(site):
    """Each change of a registration wakes every process that watches the balancers."""
    start(site)
    revision = site.store.revision
    for balancer in site.balancers:
        balancer.kill()
        balancer.start()
    site.wait_ready()
    check(site.store.revision == revision, "a restart has written to the store")


def test_balancer_started_without_the_store(site):
    """Found on lgkaa-serviss trouble-1: no services until the store returned."""
    start(site)
    site.store.set_down(True)
    site.balancers[1].kill()
    site.balancers[1].start()
    end = time.monotonic() + 3.0
    while not site.balancers[1].is_ready() and time.monotonic() < end:
        time.sleep(0.05)
    check(site.balancers[1].is_ready(), "not ready without the store")
    client = site.client()
    client.balancers = [site.balancers[1].settings["ip"]]
    results = finish(client, ask(client, REPORTS, 10, "report"))
    check(results == ["ok"] * 10, f"results {set(results)}")


def test_balancer_that_cannot_register(site):
    """Members report to the balancers of their settings, too, while these may not have
    registered yet. Seen beside load: a balancer that took 1.2 s to register knew no member
    of one service, and dropped its flows although it was ready."""
    site.store.refused_names.add("balancer-2")
    start(site)
    # What it heard before the others had registered is lost.
    site.balancers[1].kill()
    site.balancers[1].start()
    time.sleep(0.8)
    client = site.client()
    client.balancers = [site.balancers[1].settings["ip"]]
    results = finish(client, ask(client, REPORTS, 10, "report"))
    check(results == ["ok"] * 10, f"results {set(results)}")


def test_ready_with_a_member_of_each_service(site):
    """A balancer that knows the members of one service only is not ready yet, since all
    flows of the others would fail."""
    site.configure([REPORTS, MANUALS])
    site.add_server("rokasgramata", answer=b"m" * 40000)
    time.sleep(0.6)
    balancer = site.add_balancer()
    time.sleep(0.8)
    check("of service rokasgramata joined" in balancer.log(), "no member")
    check(not balancer.is_ready(), "ready without a member of the reports' service")
    site.add_server("darbnica")
    end = time.monotonic() + 1.4  # before the time after which any member is enough
    while not balancer.is_ready() and time.monotonic() < end:
        time.sleep(0.05)
    check(balancer.is_ready(), "not ready with members of all services")


def test_not_ready_without_members(site):
    """Found in an incident of vrtina-lb-grown: balancers that had been added while the store
    had lost its history were not known to any companion, were ready after 1.5 s and
    rejected every flow."""
    site.configure([REPORTS, MANUALS])
    balancer = site.add_balancer()
    time.sleep(2.2)
    check("are in force" in balancer.log(), "no services")
    check(not balancer.is_ready(), "ready without a member")
    site.add_server("darbnica")
    end = time.monotonic() + 2.0
    while not balancer.is_ready() and time.monotonic() < end:
        time.sleep(0.05)
    check(balancer.is_ready(), "not ready with a member")


def test_lost_answers(site):
    """A registration whose answer is lost is read back, not written twice."""
    start(site, n_balancers=1)
    site.store.lose_answers = True
    added = site.add_balancer()
    time.sleep(0.6)
    site.store.lose_answers = False
    time.sleep(0.6)
    written = [e for _, kind, e in site.store.events
               if kind == "balancers" and e["object"]["meta"]["name"] == added.name]
    check(len(written) == 1, f"{len(written)} writes")


def test_address_used_by_another_service(site):
    """A balancer that was cut off still sends the old service's packets there."""
    start(site, n_balancers=1, n_servers=2)
    site.servers[0].stop()
    site.companions[0].kill()
    # A datagram as of a balancer that has not heard of the change yet.
    client = site.client()
    site.add_server("rokasgramata", number=1, answer=b"m" * 100)
    client.run(time.monotonic() + 0.5)
    # Also a member that still takes the address for one of its own service's.
    results = finish(client, ask(client, REPORTS, 30, "early"))
    check(results == ["ok"] * 30, f"results {set(results)}")
    victim = site.servers[-1]
    before = len(victim.syns)
    packet = standins.Packet((client.ip, 30000), REPORTS[:2], standins.SYN, 7)
    tag = tag_of("darbnica", site)
    packet.pad = tag + b"\0\0"
    client.socket.sendto(packet.pack(), (victim.ip, standins.PACKET_PORT))
    client.run(time.monotonic() + 0.3)
    check(len(victim.syns) == before, "a packet of the old service reached the server")
    results = finish(client, ask(client, REPORTS, 10, "report"))
    check(results == ["ok"] * 10, f"results {set(results)}")


def tag_of(service, site):
    """The tag that a balancer writes for the service, seen on a real packet."""
    probe = next(s for s in site.servers if s.service == service and not s.stopping)
    seen = []
    take = probe._take

    def spy(packet):
        seen.append(packet.pad[:3])
        take(packet)

    probe._take = spy
    client = site.client()
    finish(client, ask(client, REPORTS, 4, "probe"))
    probe._take = take
    check(seen, "no packet seen")
    return seen[0]


def explain(site, flow):
    """What the command line says of the flow, from the logs of all processes."""
    name = "%s:%d" % flow["key"][0]
    logs = [p.log_path for p in site.balancers + site.companions]
    done = subprocess.run([os.path.join(BINARIES, "dogwoodpaddle"), "explain", name, *logs],
                          capture_output=True, text=True, timeout=20, check=True)
    return done.stdout


def test_explain_rejected_flow(site):
    start(site, n_balancers=1, n_servers=1, slots=1, work_s=0.4)
    client = site.client()
    # Just after a start nothing is rejected for lack of other members.
    client.run(time.monotonic() + 1.5)
    flows = ask(client, REPORTS, 40, "report", 0.001)
    finish(client, flows)
    rejected = [f for f in flows if f["result"] == "reset"]
    check(rejected, "nothing was rejected")
    account = explain(site, rejected[0])
    check("cause: rejected under load" in account, account)


def test_explain_stalled_download(site):
    start(site, n_balancers=1)
    client = site.client()
    flow = client.start(MANUALS[:2], b"manual")
    client.run(time.monotonic() + 0.2, [flow])
    flow["result"] = None
    site.companions[-1].kill()
    site.servers[-1].stop()
    for _ in range(12):
        client._send(flow, standins.ACK, flow["seq"] + 8, flow["peer"] + 1200)
        client.run(time.monotonic() + 0.2)
    account = explain(site, flow)
    check("cause: stalled" in account, account)


def test_explain_lost_answer(site):
    start(site, n_balancers=1)
    client = site.client()
    flow = client.start(REPORTS[:2], b"report")
    take = client._take

    def lose_data(packet):
        if not packet.data:
            take(packet)

    client._take = lose_data
    client.run(time.monotonic() + 1.5)
    client._take = take
    check(sum(len(s.runs) for s in site.servers) == 1, "the report has not run once")
    account = explain(site, flow)
    check("the server has answered" in account, account)


def explain_placement(balancer, client, *options):
    """Runs the command for the route REPORTS."""
    at = f"{balancer.settings['ip']}:{standins.READY_PORT}"
    return subprocess.run(
        [os.path.join(BINARIES, "dogwoodpaddle"), "explain-placement", "--at", at,
         "--service", "%s:%d" % REPORTS[:2], "--client", client, *options],
        capture_output=True, text=True, timeout=20, check=False)


def get(balancer, path, method="GET"):
    connection = http.client.HTTPConnection(balancer.settings["ip"], standins.READY_PORT,
                                            timeout=2)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def test_explain_placement(site):
    """Guards against an explanation that names no member although there is one, that
    counts as a flow, or that takes a malformed query for another one."""
    start(site, n_balancers=1)
    client = site.client()
    balancer = site.balancers[0]
    flow = client.start(REPORTS[:2], b"report")
    finish(client, [flow])
    placed = balancer.metric("dogwoodpaddle_flows_placed_total")
    done = explain_placement(balancer, "100.64.0.6:1025", "--json")
    check(done.returncode == 0, done.stderr)
    answer = json.loads(done.stdout)["explanation"]
    check(answer["action"] == "to_member" and answer["reason"] == "placed", answer)
    check(answer["route"]["service"] == "darbnica" and answer["n_members"] == 3, answer)
    check(answer["chosen"] == answer["members"][0]["name"], answer)
    table = explain_placement(balancer, "100.64.0.6:1025").stdout
    check(answer["chosen"] in table and "report_ms" in table, table)
    for query in ("", "?service=198.18.0.1:443", "?client=100.64.0.6:1025",
                  "?service=198.18.0.1&client=100.64.0.6:1025",
                  "?service=198.18.0.1:443&client=100.64.0.6:99999",
                  "?service=198.18.0.1:443&client=100.64.0.6:1&clas=bulk"):
        status, text = get(balancer, "/explain" + query)
        check(status == 400 and text.startswith("query"), f"{query}: {status} {text}")
    valid = "?service=198.18.0.1:443&client=100.64.0.6:1025"
    check(get(balancer, "/explain/x" + valid)[0] == 404, "another path is served")
    check(get(balancer, "/explain" + valid, "POST")[0] == 405, "POST is served")
    status, text = get(balancer, "/explain?service=198.18.0.9:443&client=100.64.0.6:1025")
    check(status == 200 and json.loads(text)["reason"] == "no_route", text)
    companion = site.companions[0]
    service = "%s:%d" % REPORTS[:2]
    for route in (None, "", "interactive", "x,75,2500", "bulk,-1,0", "bulk,1,99999"):
        done = explain_placement(companion, "100.64.0.6:1025",
                                 *([] if route is None else ["--route", route]))
        check(done.returncode == 1 and "HTTP status 400: query: route: " in done.stderr,
              f"{route}: {done.stderr}")
    done = explain_placement(companion, "100.64.0.6:1025", "--json",
                             "--route", "interactive,75,2500")
    answer = json.loads(done.stdout)["explanation"]
    check(answer["role"] == "companion" and answer["service_address"] == service, answer)
    check(answer["action"] == "to_server" and answer["reason"] == "owned", answer)
    check(answer["serving"] and not answer["failing"], answer)
    check(answer["slots"] == 2 and answer["waiting"] == 0, answer)
    check(get(balancer, "/explain" + valid + "&route=bulk,1,1")[0] == 400,
          "a balancer takes a route")
    check(balancer.metric("dogwoodpaddle_flows_placed_total") == placed,
          "explaining counts as placing")
    check(balancer.metric('dogwoodpaddle_packets_dropped_total{reason="no_route"}') == 0,
          "explaining counts as a packet")


def test_unread_log(site):
    """A log that nobody reads holds up no packet."""
    start(site, n_balancers=1, n_servers=1, slots=1, work_s=0.05)
    process = site.companions[0]
    process.kill()
    read_end, write_end = os.pipe()
    process.process = subprocess.Popen(
        [process.program, process.role], stdout=write_end, stderr=subprocess.DEVNULL,
        env={"DOGWOODPADDLE_CONFIG": process.path, "PATH": os.environ["PATH"]})
    os.set_blocking(write_end, False)
    client = site.client()
    client.run(time.monotonic() + 0.5)
    try:
        while os.write(write_end, b"x" * 4096):
            pass
    except BlockingIOError:
        pass
    flows = ask(client, REPORTS, 40, "report", 0.06)
    results = finish(client, flows)
    os.close(read_end)
    os.close(write_end)
    check(results.count("ok") >= 38, f"results {results}")


def test_malformed_input(site):
    """Neither heartbeats nor datagrams of others harm a process."""
    start(site, n_servers=1)
    client = site.client()
    server = site.servers[0]
    for body in ({}, {"service": 3}, {"service": "darbnica", "slots": -1}, [1]):
        check(server._call("heartbeat", body) == 400 or not body, f"{body} accepted")
    rng = random.Random(7)
    for address in [(b.settings["ip"], port) for b in site.balancers
                    for port in (standins.PACKET_PORT, 7720)] + [
                        (server.ip, port) for port in
                        (standins.PACKET_PORT, standins.OUTBOUND_PORT, 7720)]:
        for length in (0, 1, 35, 36, 100, 1236, 1300, 4000):
            client.socket.sendto(rng.randbytes(length), address)
    results = finish(client, ask(client, REPORTS, 10, "report"))
    check(results == ["ok"] * 10, f"results {set(results)}")
    for process in site.balancers + site.companions:
        check(process.process.poll() is None, f"{process.name} ended")


def test_waiting_syn_and_older_copy(site):
    """A kept SYN was forgotten when its copy came back, and the companion then ended."""
    start(site, n_balancers=1, n_servers=1, slots=1, work_s=0.4)
    client = site.client()
    server = site.servers[0]
    flows = ask(client, REPORTS, 4, "report", 0.002)
    # One flow has the slot, two are offered ahead; the fourth waits for 0.4 s.
    end = time.monotonic() + 2
    while sum(f["peer"] is not None for f in flows) < 3 and time.monotonic() < end:
        client.run(time.monotonic() + 0.005)
    waiting = [f for f in flows if f["peer"] is None]
    check(len(waiting) == 1, f"{len(waiting)} flows wait")
    # A copy that overtakes the SYN is no copy of a waiting one, and is answered by itself.
    while site.companions[0].metric(WAITING_PACKETS) < 1 and time.monotonic() < end:
        client.run(time.monotonic() + 0.005)
    check(site.companions[0].metric(WAITING_PACKETS) >= 1, "the companion holds no SYN")
    for flow in waiting:
        # As a server that was frozen does, and a balancer that knows another service there.
        server._return(standins.Packet(*flow["key"], standins.SYN, flow["seq"]))
        foreign = standins.Packet(*flow["key"], standins.SYN, flow["seq"])
        foreign.pad = b"\x55\xaa\x55\0\0"
        client.socket.sendto(foreign.pack(), (server.ip, standins.PACKET_PORT))
    results = finish(client, flows)
    status = site.companions[0].process.poll()
    check(status is None, f"the companion ended with status {status}")
    check(results == ["ok"] * 4, f"results {results}")


def test_reload(site):
    """SIGHUP, with good settings and bad ones, ends no process."""
    start(site, n_servers=1)
    for process in site.balancers + site.companions:
        process.process.send_signal(1)
    time.sleep(0.2)
    with open(site.balancers[0].path, "w", encoding="utf-8") as file:
        file.write("{")
    site.balancers[0].process.send_signal(1)
    time.sleep(0.2)
    check("settings not reloaded" in site.balancers[0].log(), "no warning in the log")
    for process in site.balancers + site.companions:
        check(process.process.poll() is None, f"{process.name} ended")


def start_with_signal(site, process, number):
    """Starts the process again and signals it while it reads its settings file."""
    process.kill()
    os.unlink(process.path)
    os.mkfifo(process.path)
    with open(process.log_path, "ab") as log:
        process.process = subprocess.Popen(
            [process.program, process.role], stdout=log, stderr=log,
            env={"DOGWOODPADDLE_CONFIG": process.path, "PATH": os.environ["PATH"]})
    with open(process.path, "w", encoding="utf-8") as file:
        process.process.send_signal(number)
        time.sleep(0.1)
        json.dump(process.settings, file)
    os.unlink(process.path)
    with open(process.path, "w", encoding="utf-8") as file:
        json.dump(process.settings, file)


def test_signals_during_a_start(site):
    """SIGHUP ended a process that had not installed its handler yet."""
    start(site, n_balancers=1, n_servers=1)
    for process in site.balancers + site.companions:
        start_with_signal(site, process, signal.SIGHUP)
    client = site.client()
    client.run(time.monotonic() + 3.0)
    for process in site.balancers + site.companions:
        status = process.process.poll()
        check(status is None, f"{process.name} ended with status {status}")
    results = finish(client, ask(client, REPORTS, 5, "report"))
    check(results == ["ok"] * 5, f"results {results}")
    for process in site.balancers + site.companions:
        start_with_signal(site, process, signal.SIGTERM)
        check(process.process.wait(8.0) == 0, f"{process.name} was not stopped in order")


def run(test, number):
    folder = tempfile.mkdtemp(prefix="hosted-")
    site = standins.Site(PROGRAM, folder)
    try:
        test(site)
        check_servers(site)
        print(f"ok {number} - {test.__name__}")
        return True
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        print(f"not ok {number} - {test.__name__}")
        for process in site.balancers + site.companions:
            print(f"--- {process.name}\n{process.log()[-3000:]}")
        return False
    finally:
        site.close()
        shutil.rmtree(folder)


def main(namespace):
    """Runs the tests of a module, or those named on the command line."""
    tests = [value for name, value in sorted(namespace.items())
             if name.startswith("test_") and callable(value)]
    wanted = sys.argv[1:]
    results = [run(test, i + 1) for i, test in enumerate(tests)
               if (test.__name__ in wanted if wanted else test.__name__ not in SEPARATE)]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) and results else 1


if __name__ == "__main__":
    sys.exit(main(globals()))
