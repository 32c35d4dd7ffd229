"""A configuration that drops a route, for cases 14 and 15: whether the route is dropped in time,
whatever the version looks like."""

import time

import common_3
from common_3 import standins

REPORTS = ("198.18.0.1", 8080, "darbnica", "non_idempotent")
SHEETS = ("198.18.0.1", 8081, "darbnica", "idempotent")
OLD = ("198.18.0.3", 8080, "darbnica", "idempotent")
ADDED = ("198.18.0.4", 8080, "darbnica", "idempotent")
CONFIG_APPLY_S = 3.0  # config_apply_ms in the settings
WATCHED_S = 6.0  # requests on the dropped route are sent for this time after the bound
FIRST_VERSION, SECOND_VERSION = 17, 23


def configure(site, record, version, routes, text):
    site.version = version - 1  # configure () adds 1
    site.configure(routes)
    acknowledged_at = site.versions[-1].acknowledged_at
    record.note(f"config/main version {version} acknowledged: {text}", acknowledged_at)
    return acknowledged_at


def ask(client, flows, balancers, route, tag):
    for balancer in balancers:
        flows.append(client.start_at(balancer, route[:2], tag + b"-%d" % len(flows)))
    client.run(time.monotonic() + 0.2)


def play(site, record, last_version):
    """last_version: of the configuration that drops the route; above SECOND_VERSION."""
    client = standins.DirectClients(f"{site.prefix}.9.1", [])
    site.clients.append(client)
    configure(site, record, FIRST_VERSION, [REPORTS, SHEETS, OLD], "the first one")
    for zone in ("riga-a", "riga-b"):
        site.add_balancer(zone)
    for zone in ("riga-a", "riga-b", "riga-b"):
        site.add_server("darbnica", zone, slots=4)
    site.wait_ready(10.0)
    record.note("2 balancers are ready, 3 servers run")
    flows = []
    ask(client, flows, site.balancers, OLD, b"before")
    configure(site, record, SECOND_VERSION, [REPORTS, SHEETS, OLD, ADDED], "one route added")
    client.run(time.monotonic() + CONFIG_APPLY_S)
    ask(client, flows, site.balancers, ADDED, b"added")
    client.run(time.monotonic() + 1.0, flows)
    for flow in flows:
        record.note(f"request {flow['request']} sent, result {flow['result']}", flow["started"])
    if [flow["result"] for flow in flows] != ["ok"] * len(flows):
        raise RuntimeError("a request on a route of the configuration was not answered")

    bound = CONFIG_APPLY_S + configure(site, record, last_version, [REPORTS, SHEETS, ADDED],
                                       "one route dropped")
    client.run(bound + 0.2)
    late, kept = [], []
    while time.monotonic() < bound + WATCHED_S:
        ready = [b for b in site.balancers if b.is_ready()]
        ask(client, late, ready, OLD, b"dropped")
        ask(client, kept, ready, SHEETS, b"kept")
        client.run(time.monotonic() + 0.2)
    client.run(time.monotonic() + 2.0, late + kept)
    taken = {key: server for server in site.servers for key, _ in server.syns}
    ran = {request for server in site.servers for _, request, _ in server.runs}
    n_broken = 0
    for flow in late + kept:
        server = taken.get(flow["key"])
        broken = flow in late and server is not None
        n_broken += broken
        record.note(f"request {flow['request']} sent to {flow['balancer']} on {flow['key'][1]}, "
                    f"result {flow['result']}, opening packet taken by "
                    f"{server.identity if server else 'nobody'}, "
                    f"{'run' if flow['request'] in ran else 'not run'}"
                    f"{': CONFIG is broken' if broken else ''}", flow["started"])
    record.note(f"{n_broken} of {len(late)} requests on the dropped route, sent later than "
                f"{CONFIG_APPLY_S} s after the acknowledgement, were taken by a server; "
                f"{sum(f['result'] == 'ok' for f in kept)} of {len(kept)} others were served")
    for balancer in site.balancers:
        lines = [line for line in balancer.log().splitlines() if "stays in force" in line]
        record.note(f"{balancer.name}: {lines[0] if lines else 'no complaint in the log'}")
    if not late:
        raise RuntimeError("no balancer was ready")
    return common_3.BROKEN if n_broken else common_3.HELD
