#!/usr/bin/env python3
"""Guards against searches of a flow's owner that end before they have visited each member.
Runs the platform's program as processes."""

import sys
import time

import test_hosted as hosted
import test_open_flows as open_flows
from test_hosted import check

STABLE_S = 4.0  # stable_window_ms: a process is in touch again so long after a fault


def test_search_of_all_members_reaches_the_owner(site):
    """All companions were killed: no member has a directory entry or knows its flows."""
    hosted.start(site, n_balancers=1, n_servers=10, slots=8, work_s=open_flows.KEPT_OPEN_S)
    client = site.client()
    flows = open_flows.open_flows(site, client, 60, "open")
    for process in site.companions + site.balancers:
        process.kill()
    for process in site.companions + site.balancers:
        process.start()
    client.run(time.monotonic() + STABLE_S + 1.0)
    arrivals = open_flows.Arrivals(site.servers)
    open_flows.acknowledge(client, flows, 2 * open_flows.REORDER_S)
    sound = [f for f in flows if open_flows.owner(site, f) is not None]
    strayed = [f["key"][0][1] for f in sound if arrivals.has_strayed(f["key"])]
    check(sound and not strayed, f"{len(strayed)} of {len(sound)} flows strayed: {strayed}")


if __name__ == "__main__":
    sys.exit(hosted.main(globals()))
