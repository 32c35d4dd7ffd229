#!/usr/bin/env python3
"""A new configuration whose version is the time in microseconds."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import common_2 as common  # noqa: E402

DROPPED = ("198.18.0.4", 443, "darbnica", "idempotent")


def play(site, trouble, record):
    site.version = 100
    site.configure([common.REPORTS, common.MANUALS, DROPPED])
    common.start(site)
    site.wait_ready(10)
    client = site.client()
    client.run(time.monotonic() + common.SETTLE_S)
    flows = common.ask(client, common.REPORTS, 20, "before")
    if any(flow["result"] != "ok" for flow in flows):
        common.write_flows(record, site, flows)
        raise RuntimeError("requests failed before the change")

    site.version = int(time.time() * 1e6) if trouble else 106
    site.configure([common.REPORTS, common.MANUALS, common.ADDED])
    acknowledged = site.versions[-1].acknowledged_at
    record.line(f"the store acknowledges version {site.version}, which adds the route "
                f"{common.ADDED[0]}:{common.ADDED[1]} and drops {DROPPED[0]}:{DROPPED[1]}",
                acknowledged)
    client.run(acknowledged + common.CONFIG_APPLY_S + 0.5)
    added = common.ask(client, common.ADDED, 30, "added-route")
    dropped = common.ask(client, DROPPED, 30, "dropped-route")
    common.write_flows(record, site, flows + added + dropped)
    common.write_logs(record, site, ["config/main", "in force"])

    refused = [flow for flow in added if flow["result"] in ("reset", "no answer")]
    runs = {key for server in site.servers for key, _, _ in server.runs}
    ran = [flow for flow in dropped if flow["key"] in runs]
    broken = []
    if refused:
        broken.append(f"CONFIG: {len(refused)} of {len(added)} requests on a route that "
                      f"version {site.version} has were refused; the first was sent "
                      f"{refused[0]['started'] - acknowledged:.3f} s after the acknowledgement")
    if ran:
        broken.append(f"CONFIG: {len(ran)} of {len(dropped)} requests on a route that version "
                      f"{site.version} has dropped were run; the first was sent "
                      f"{ran[0]['started'] - acknowledged:.3f} s after the acknowledgement")
    return broken


common.main(FOLDER, play)
