#!/usr/bin/env python3
"""Guards against open flows that are reset, or whose packets reach other servers, although
their own server is sound. Runs the platform's program as processes."""

import signal
import sys
import time

import test_hosted as hosted
from test_hosted import REPORTS, check, standins

REORDER_S = 2.0  # time in which packets of a flow may reach other servers only
STRAYS_MAX = 2  # packets at other servers in that time
KEPT_OPEN_S = 60.0  # work of a request whose flow stays open for a whole test
SYN_COPIES = (1, 2)
VISITS_MAX = 4  # members that forward a SYN that they can't take


class ResetLog:
    """Records the resets that reach a client, also those that it ignores."""

    def __init__(self, client):
        self.client = client
        self.ports = []
        self.take = client._take
        client._take = self._take

    def _take(self, packet):
        if packet.flags & standins.RST:
            self.ports.append(packet.dst[1])
        self.take(packet)


class Arrivals:
    """Times at which packets of each flow reach its own server and others."""

    def __init__(self, servers):
        self.own = {}
        self.strays = {}
        for server in servers:
            self._watch(server)

    def _watch(self, server):
        take, send_back = server._take, server._return

        def record_stray(packet):
            if not packet.flags & standins.SYN:
                self.strays.setdefault((packet.src, packet.dst), []).append(
                    time.monotonic())
            send_back(packet)

        def record(packet):
            key = (packet.src, packet.dst)
            take(packet)
            if server.flows.get(key, {}).get("state") == "open":
                self.own.setdefault(key, []).append(time.monotonic())

        server._take, server._return = record, record_stray

    def has_strayed(self, key):
        """Whether too many packets reached other servers, and none its own meanwhile."""
        strays = self.strays.get(key, [])
        for i, first in enumerate(strays):
            window = [t for t in strays[i:] if t <= first + REORDER_S]
            if len(window) > STRAYS_MAX and not any(
                    first <= t <= first + REORDER_S for t in self.own.get(key, [])):
                return True
        return False


def send_copies(site, client, flow, balancer):
    for copy in SYN_COPIES:
        packet = standins.Packet(flow["key"][0], flow["key"][1], standins.SYN,
                                 flow["seq"], copy)
        client.socket.sendto(packet.pack(), (balancer.settings["ip"],
                                             standins.PACKET_PORT))
        client.run(time.monotonic() + 0.02)


def record_service_tags(servers):
    """Returns a set that receives the service's tag from the SYNs at the servers."""
    tags = set()

    def watch(server):
        take = server._take

        def record(packet):
            if packet.flags & standins.SYN:
                tags.add(packet.pad[:3])
            take(packet)

        server._take = record

    for server in servers:
        watch(server)
    return tags


def rejectable_copy(flow, tags):
    """A copy of the flow's SYN that has visited as many members as may forward it."""
    (tag,) = tags
    return standins.Packet(flow["key"][0], flow["key"][1], standins.SYN, flow["seq"], 1,
                           echo=bytes([VISITS_MAX, 0, 0, 0]), pad=tag + b"\0\0")


def open_flows(site, client, n, tag):
    flows = hosted.ask(client, REPORTS, n, tag)
    client.run(time.monotonic() + 0.3)
    opened = [f for f in flows if owner(site, f) is not None]
    check(opened, "no flow was opened")
    return opened


def acknowledge(client, flows, seconds):
    """Sends an acknowledgement of each flow every 200 ms."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for flow in flows:
            client._send(flow, standins.ACK, flow["seq"] + 1 + len(flow["request"]),
                         flow["peer"] + 1)
        client.run(time.monotonic() + 0.2)


def owner(site, flow):
    for server in site.servers:
        if server.flows.get(flow["key"], {}).get("state") == "open":
            return server
    return None


def test_rejected_copy_of_an_accepted_syn_resets_no_flow(site):
    """The copy takes another balancer, to members that have no slot left."""
    hosted.start(site, n_balancers=2, n_servers=4, slots=1, work_s=3.0)
    client, crowd = site.client(), site.client()
    client.balancers = client.balancers[:1]
    crowd.run(time.monotonic() + 1.5)  # just after a start nothing is rejected
    resets = ResetLog(client)
    flows = open_flows(site, client, 4, "open")
    rejected = ResetLog(crowd)
    # While no service time is known, most SYNs may wait; the servers work for 3 s.
    crowded_until = time.monotonic() + 1.0
    while not rejected.ports and time.monotonic() < crowded_until:
        hosted.ask(crowd, REPORTS, 80, "crowd", 0.001)
        crowd.run(time.monotonic() + 0.1)
    check(rejected.ports, "nothing was rejected")
    for flow in flows:
        send_copies(site, client, flow, site.balancers[1])
    client.run(time.monotonic() + 0.3)
    check(not resets.ports, f"{len(resets.ports)} of {2 * len(flows)} copies were reset")


def test_copy_at_a_balancer_without_route_gets_no_reset(site):
    """Its first copy may have opened the flow by a route that this balancer doesn't know."""
    hosted.start(site, n_balancers=1, n_servers=1)
    client = site.client()
    client.run(time.monotonic() + 0.5)
    resets = ResetLog(client)
    flow = client.start(("198.18.0.9", 443), b"copies")
    flow["result"] = "sent by this test"
    send_copies(site, client, flow, site.balancers[0])
    client.run(time.monotonic() + 0.3)
    check(not resets.ports, f"{len(resets.ports)} copies were reset")
    first = client.start(("198.18.0.9", 443), b"first")
    client.run(time.monotonic() + 0.15)
    check(resets.ports == [first["key"][0][1]], "the first SYN was not rejected at once")


def test_unread_registrations_reset_no_flow(site):
    """A companion was kept from running for 0.15 s: rejected SYNs and the registrations of
    the flows' owners have come meanwhile."""
    hosted.start(site, n_balancers=1, n_servers=4, slots=8, work_s=1.0)
    client = site.client()
    tags = record_service_tags(site.servers[:4])
    hosted.finish(client, hosted.ask(client, REPORTS, 8, "before"))
    leaving, paused = site.companions[0], site.companions[3]
    site.servers[0].state = "draining"
    client.run(time.monotonic() + 1.5)
    resets = ResetLog(client)
    paused.process.send_signal(signal.SIGSTOP)
    end = time.monotonic() + 0.15
    flows = hosted.ask(client, REPORTS, 16, "open", 0.002)
    for flow in flows:
        client.socket.sendto(rejectable_copy(flow, tags).pack(),
                             (leaving.settings["ip"], standins.PACKET_PORT))
    client.run(end)
    paused.process.send_signal(signal.SIGCONT)
    client.run(time.monotonic() + 0.3)
    opened = [f for f in flows if owner(site, f) not in (None, site.servers[3])]
    told = [f["key"][0][1] for f in opened if f["key"][0][1] in resets.ports]
    check(opened and not told, f"{len(told)} of {len(opened)} open flows were reset: {told}")


def test_rejected_copy_at_a_former_owner_resets_no_flow(site):
    """A server has returned the SYNs that its companion had registered, and other members'
    servers have taken them."""
    hosted.start(site, n_balancers=1, n_servers=6, slots=8, work_s=1.0)
    client = site.client()
    tags = record_service_tags(site.servers[:6])
    hosted.finish(client, hosted.ask(client, REPORTS, 8, "before"))
    leaving = site.companions[0]
    site.servers[0].state = "draining"
    site.servers[1].taking = False
    client.run(time.monotonic() + 1.5)
    resets = ResetLog(client)
    flows = open_flows(site, client, 40, "open")
    for flow in flows:
        client.socket.sendto(rejectable_copy(flow, tags).pack(),
                             (leaving.settings["ip"], standins.PACKET_PORT))
    client.run(time.monotonic() + 0.3)
    told = [f["key"][0][1] for f in flows if f["key"][0][1] in resets.ports]
    check(not told, f"{len(told)} of {len(flows)} open flows were reset: {told}")


def test_syn_copy_at_a_restarted_companion_resets_no_flow(site):
    """The companion doesn't know yet that its server has the flow."""
    hosted.start(site, n_balancers=1, n_servers=1, work_s=1.5)
    client = site.client()
    resets = ResetLog(client)
    flows = open_flows(site, client, 1, "open")
    site.companions[0].kill()
    site.companions[0].start()
    for _ in range(15):
        send_copies(site, client, flows[0], site.balancers[0])
    check(not resets.ports, f"{len(resets.ports)} copies were reset")
    results = hosted.finish(client, flows)
    check(results == ["ok"], f"results {results}")


def test_rejected_copy_after_a_server_crash_resets_no_answered_flow(site):
    """The crashed server's companion was offered the first copy and passed the second on."""
    hosted.start(site, n_balancers=1, n_servers=7, slots=40, work_s=KEPT_OPEN_S)
    client = site.client()
    client.run(time.monotonic() + 1.5)  # just after a start nothing is rejected
    resets = ResetLog(client)
    # The clients' acknowledgements are late, so that no flow is open.
    client._send_request = lambda flow, now: None
    site.servers[0].stop()
    flows = hosted.ask(client, REPORTS, 120, "crash", 0.001)
    client.run(time.monotonic() + 0.45)
    answered = [f for f in flows if f["peer"] is not None and f["copies"] == 2
                and not f["result"]]
    check(answered, "no second copy was answered")
    del resets.ports[:]
    for flow in answered:
        packet = standins.Packet(*flow["key"], standins.SYN, flow["seq"], 2)
        client.socket.sendto(packet.pack(), (site.balancers[0].settings["ip"],
                                             standins.PACKET_PORT))
        client.run(time.monotonic() + 0.005)
    client.run(time.monotonic() + 0.3)
    reset = {f["key"][0][1] for f in answered} & set(resets.ports)
    check(not reset, f"{len(reset)} of {len(answered)} answered flows were reset")


def test_search_past_restarted_companions_reaches_the_owner(site):
    """All balancers have lost their caches, most companions their flows; one is paused."""
    hosted.start(site, n_balancers=1, n_servers=9, slots=4, work_s=KEPT_OPEN_S)
    client = site.client()
    flows = open_flows(site, client, 30, "open")
    arrivals = Arrivals(site.servers)
    paused = site.companions[8]
    for companion in site.companions[:6]:
        companion.process.send_signal(signal.SIGTERM)
    for companion in site.companions[:6]:
        companion.process.wait(6)
        companion.start()
    client.run(time.monotonic() + 1.0)
    paused.process.send_signal(signal.SIGSTOP)
    site.balancers[0].kill()
    site.balancers[0].start()
    acknowledge(client, flows, 4.0)
    paused.process.send_signal(signal.SIGCONT)
    sound = [f for f in flows if owner(site, f) not in (None, site.servers[8])]
    strayed = [f["key"][0][1] for f in sound if arrivals.has_strayed(f["key"])]
    check(sound, "every flow was at the paused host")
    check(not strayed, f"{len(strayed)} of {len(sound)} flows strayed: {strayed}")


def test_search_goes_on_while_a_companion_is_paused(site):
    """It is the first one of some searches, and the owner of none of the flows judged."""
    hosted.start(site, n_balancers=1, n_servers=5, slots=6, work_s=KEPT_OPEN_S)
    client = site.client()
    flows = open_flows(site, client, 25, "open")
    site.balancers[0].kill()
    site.balancers[0].start()
    acknowledge(client, flows, 1.5)
    arrivals = Arrivals(site.servers)
    site.companions[4].process.send_signal(signal.SIGSTOP)
    acknowledge(client, flows, REORDER_S)
    end = time.monotonic()
    site.companions[4].process.send_signal(signal.SIGCONT)
    sound = [f for f in flows if owner(site, f) not in (None, site.servers[4])]
    cut_off = [f["key"][0][1] for f in sound
               if not [t for t in arrivals.own.get(f["key"], []) if t > end - 1.0]]
    check(sound and not cut_off, f"{len(cut_off)} of {len(sound)} flows cut off: {cut_off}")


if __name__ == "__main__":
    sys.exit(hosted.main(globals()))
