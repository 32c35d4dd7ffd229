#!/usr/bin/env python3
"""Guards against searches of a flow's owner that end before they have visited each member.
Runs the platform's program as processes."""

import signal
import sys
import time

import test_hosted as hosted
import test_open_flows as open_flows
from test_hosted import check, standins

N_FLOWS = 60
N_HOSTS, N_LEFT = 36, 8  # where most hosts are lost
FOUND_S = 1.0  # bound for a packet's way to its server; half of REORDER_S
RETRANSMISSIONS_S = (0.0, 0.2, 0.6, 1.4, 2.0)  # until REORDER_S is over
STABLE_S = 4.0  # stable_window_ms: a process is in touch again so long after a fault


def open_and_forget(site, n_balancers=1, n_servers=10):
    """Opens flows and kills all processes, so that none knows a flow's owner."""
    hosted.start(site, n_balancers=n_balancers, n_servers=n_servers, slots=8,
                 work_s=open_flows.KEPT_OPEN_S)
    client = site.client()
    flows = open_flows.open_flows(site, client, N_FLOWS, "open")
    for process in site.companions + site.balancers:
        process.kill()
    for process in site.companions + site.balancers:
        process.start()
    client.run(time.monotonic() + STABLE_S + 1.0)
    return client, flows


def send_acknowledgement(client, flow):
    client._send(flow, standins.ACK, flow["seq"] + 1 + len(flow["request"]),
                 flow["peer"] + 1)


def check_sound_flows(site, client, flows, lost=()):
    """Each flow's packets, sent once within 2 s, reach its own server if that is sound."""
    arrivals = open_flows.Arrivals(site.servers)
    for _ in range(2):
        for _ in range(2):
            for flow in flows:
                send_acknowledgement(client, flow)
        client.run(time.monotonic() + open_flows.REORDER_S)
    sound = [f for f in flows if open_flows.owner(site, f) not in (None, *lost)]
    unreached = [f["key"][0][1] for f in sound if f["key"] not in arrivals.own]
    check(sound and not unreached,
          f"packets of {len(unreached)} of {len(sound)} flows did not reach their servers")
    strayed = [f["key"][0][1] for f in sound if arrivals.has_strayed(f["key"])]
    check(not strayed, f"{len(strayed)} of {len(sound)} flows strayed: {strayed}")


def test_search_of_all_members_reaches_the_owner(site):
    """All companions were killed: no member has a directory entry or knows its flows."""
    client, flows = open_and_forget(site)
    arrivals = open_flows.Arrivals(site.servers)
    open_flows.acknowledge(client, flows, 2 * open_flows.REORDER_S)
    sound = [f for f in flows if open_flows.owner(site, f) is not None]
    strayed = [f["key"][0][1] for f in sound if arrivals.has_strayed(f["key"])]
    check(sound and not strayed, f"{len(strayed)} of {len(sound)} flows strayed: {strayed}")


def lose(site, numbers):
    for i in numbers:
        site.companions[i].kill()
        site.servers[i].stop()
    return [site.servers[i] for i in numbers]


def test_search_passes_over_a_lost_member(site):
    """A host is lost, and lists of members have it for some seconds more."""
    client, flows = open_and_forget(site, n_balancers=2)
    lost = lose(site, [2])
    client.run(time.monotonic() + 2.5)
    check_sound_flows(site, client, flows, lost)


def test_search_passes_over_members_lost_just_now(site):
    """Three of ten hosts are lost, and no process has noticed it yet."""
    client, flows = open_and_forget(site, n_balancers=2)
    check_sound_flows(site, client, flows, lose(site, [1, 4, 7]))


def test_search_passes_over_a_frozen_companion(site):
    client, flows = open_and_forget(site, n_balancers=2)
    frozen = site.companions[3]
    frozen.process.send_signal(signal.SIGSTOP)
    check_sound_flows(site, client, flows, [site.servers[3]])
    frozen.process.send_signal(signal.SIGCONT)
    client.run(time.monotonic() + STABLE_S)
    check_sound_flows(site, client, flows)


def check_found_in_time(site, client, flows, lost):
    """A packet of each flow of a sound server, sent once, reaches that server in FOUND_S."""
    arrivals = open_flows.Arrivals(site.servers)
    sent_at = {}
    sound = [f for f in flows if open_flows.owner(site, f) not in (None, *lost)]
    for flow in sound:
        sent_at[flow["key"]] = time.monotonic()
        send_acknowledgement(client, flow)
    client.run(time.monotonic() + open_flows.REORDER_S)
    late = {key[0][1]: round(arrivals.own.get(key, [float("inf")])[0] - at, 3)
            for key, at in sent_at.items()
            if arrivals.own.get(key, [float("inf")])[0] - at > FOUND_S}
    check(sound and not late, f"packets of {len(late)} of {len(sound)} flows came late: {late}")
    strayed = [f["key"][0][1] for f in sound if arrivals.has_strayed(f["key"])]
    check(not strayed, f"{len(strayed)} of {len(sound)} flows strayed: {strayed}")


def test_search_takes_no_longer_if_most_members_are_lost(site):
    """28 of 36 hosts are lost, and nobody knows the owners of the flows at the others."""
    client, flows = open_and_forget(site, n_balancers=2, n_servers=N_HOSTS)
    lost = lose(site, range(N_HOSTS - N_LEFT))
    client.run(time.monotonic() + 2.5)
    check_found_in_time(site, client, flows, lost)


def test_owners_are_found_if_most_members_are_lost(site):
    """The same with members that know their flows, but with few that know of the others'."""
    hosted.start(site, n_balancers=2, n_servers=N_HOSTS, slots=8,
                 work_s=open_flows.KEPT_OPEN_S)
    client = site.client()
    flows = open_flows.open_flows(site, client, N_FLOWS, "open")
    lost = lose(site, range(N_LEFT, N_HOSTS))
    for balancer in site.balancers:
        balancer.kill()
        balancer.start()
    client.run(time.monotonic() + 2.5)
    check_found_in_time(site, client, flows, lost)


def test_search_passes_over_companions_without_servers(site):
    """Four of ten servers are gone, whose companions don't return packets any more. A packet
    that came again went to the same companions first, and to its own server after 3 s."""
    client, flows = open_and_forget(site, n_balancers=2)
    gone = [site.servers[i] for i in (1, 3, 5, 7)]
    for server in gone:
        server.stop()
    arrivals = open_flows.Arrivals(site.servers)
    sound = [f for f in flows if open_flows.owner(site, f) not in (None, *gone)]
    sent_at = time.monotonic()
    for at in RETRANSMISSIONS_S:
        client.run(sent_at + at)
        for flow in sound:
            if flow["key"] not in arrivals.own:
                client._send(flow, standins.ACK, flow["seq"] + 1 + len(flow["request"]),
                             flow["peer"] + 1, b"x")
    unreached = [f["key"][0][1] for f in sound if f["key"] not in arrivals.own]
    check(sound and not unreached,
          f"packets of {len(unreached)} of {len(sound)} flows did not reach their servers")


if __name__ == "__main__":
    sys.exit(hosted.main(globals()))
