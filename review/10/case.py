#!/usr/bin/env python3
"""The configuration grows by many routes, each of a service of its own."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import common_2 as common  # noqa: E402
from common_2 import standins  # noqa: E402

STEP = 1400  # routes that one growth adds
GAP_S = 0.06  # between two versions in quick succession
PROBED = 50  # routes asked for at a time
NO_ROUTE = 'dogwoodpaddle_packets_dropped_total{reason="no_route"}'


def added_routes(n):
    return [(f"198.19.{i // 250}.{i % 250 + 1}", 443, f"branch-{i:05d}", "idempotent")
            for i in range(n)]


def ask_directly(client, balancer, routes, tag):
    flows = [client.start_at(balancer, route[:2], f"{tag}-{i}".encode())
             for i, route in enumerate(routes)]
    client.run(time.monotonic() + 2.0, flows)
    return flows


def first_missing(client, balancers, routes):
    """A route that some balancer doesn't know. It only chooses the service that gets a server."""
    for balancer in balancers:
        for i in range(0, len(routes), PROBED):
            part = routes[i:i + PROBED]
            before = balancer.metric(NO_ROUTE)
            ask_directly(client, balancer, part, "choose")
            if balancer.metric(NO_ROUTE) == before:
                continue
            for route in part:
                before = balancer.metric(NO_ROUTE)
                ask_directly(client, balancer, [route], "choose")
                if balancer.metric(NO_ROUTE) > before:
                    return route
    return None


def play(site, trouble, record):
    site.version = 100
    site.configure([common.REPORTS, common.MANUALS])
    for zone in ["riga-a", "riga-a", "riga-a", "riga-b", "riga-c"]:
        site.add_balancer(zone)
    site.add_server("darbnica", "riga-a", slots=4)
    site.add_server("rokasgramata", "riga-b", slots=4)
    site.wait_ready(10)
    client = standins.DirectClients(f"{site.prefix}.9.50", [])
    site.clients.append(client)
    client.run(time.monotonic() + common.SETTLE_S)

    routes = [common.REPORTS, common.MANUALS]
    for _ in range(3 if trouble else 1):
        routes = routes[:2] + added_routes(len(routes) - 2 + STEP)
        site.configure(routes)
        record.line(f"the store acknowledges version {site.version} with {len(routes)} routes, "
                    f"{len(str(site.written))} bytes", site.versions[-1].acknowledged_at)
        client.run(time.monotonic() + GAP_S)
    acknowledged = site.versions[-1].acknowledged_at
    client.run(acknowledged + common.CONFIG_APPLY_S + 0.5)
    asked = site.balancers if trouble else site.balancers[:1]
    route = first_missing(client, asked, routes[2:]) or routes[-1]
    _, server = site.add_server(route[2], "riga-a", slots=4)
    record.line(f"{server.identity} of service {route[2]} starts")
    client.run(time.monotonic() + common.SETTLE_S)

    broken, served = [], 0
    for balancer in site.balancers:
        flows = ask_directly(client, balancer, [route] * 10, balancer.name)
        refused = [flow for flow in flows if flow["result"] in ("reset", "no answer")]
        served += sum(flow["result"] == "ok" for flow in flows)
        common.write_flows(record, site, flows)
        if refused:
            broken.append(f"CONFIG: {balancer.name} refused {len(refused)} of {len(flows)} "
                          f"requests on a route that version {site.version} has; the first was "
                          f"sent {refused[0]['started'] - acknowledged:.3f} s after the "
                          "acknowledgement")
    if not served:
        raise RuntimeError("the server was reached through no balancer")
    common.write_logs(record, site, ["in force", "services: from", "services from"], 20)
    return broken


common.main(FOLDER, play)
