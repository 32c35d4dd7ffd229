#!/usr/bin/env python3
"""Shows the users' platform on loopback: load, a server that drains, a killed balancer.

Last line: JSON with requests, ok, reset, failed, doubled, misdelivered, seconds. Exit status 0
only if failed, doubled and misdelivered are 0.
"""

import json
import os
import shutil
import sys
import tempfile
import time

import standins

PROGRAM = os.path.join(os.environ.get("DP_BINARY_DIR", "build"), "dogwoodpaddle-platform")
ROUTES = [("198.18.0.1", 443, "darbnica", "non_idempotent"),
          ("198.18.0.2", 443, "rokasgramata", "download")]
SECONDS = 10
RATE = 40  # requests a second
MANUAL_EVERY = 20


def main():
    folder = tempfile.mkdtemp(prefix="demo-")
    site = standins.Site(PROGRAM, folder)
    began = time.monotonic()
    try:
        site.configure(ROUTES)
        for zone in ("riga-a", "riga-b", "riga-c"):
            site.add_balancer(zone)
            site.add_server("darbnica", zone)
        site.add_server("darbnica", "riga-a")
        site.add_server("rokasgramata", "riga-a", answer=b"m" * 40000)
        site.wait_ready()
        print("3 balancers and 5 servers are ready", file=sys.stderr)
        flows = put_load(site)
    finally:
        site.close()
        shutil.rmtree(folder)
    result = summarise(site, flows, time.monotonic() - began)
    print(json.dumps(result))
    return 0 if not (result["failed"] or result["doubled"] or result["misdelivered"]) else 1


def put_load(site):
    client = site.client()
    flows = []
    begin = time.monotonic()
    drained = killed = False
    for i in range(SECONDS * RATE):
        route = ROUTES[1 if i % MANUAL_EVERY == 0 else 0]
        flows.append(client.start(route[:2], f"request-{i}".encode()))
        client.run(begin + i / RATE)
        if not drained and i > SECONDS * RATE / 3:
            drained = True
            print(f"{site.servers[0].identity} drains", file=sys.stderr)
            site.servers[0].state = "draining"
        if not killed and i > SECONDS * RATE / 2:
            killed = True
            print(f"{site.balancers[2].name} is killed", file=sys.stderr)
            site.balancers[2].kill()
            # The routers take a balancer that does not answer out of rotation.
            client.balancers.remove(site.balancers[2].settings["ip"])
    client.run(time.monotonic() + 5, flows)
    return flows


def summarise(site, flows, seconds):
    results = [flow["result"] for flow in flows]
    runs = [request for server in site.servers for _, request, _ in server.runs]
    wrong = sum(1 for server in site.servers for key, _, _ in server.runs
                if (*key[1], server.service) not in site.declared)
    return {"requests": len(flows), "ok": results.count("ok"),
            "reset": results.count("reset"),
            "failed": len(flows) - results.count("ok") - results.count("reset"),
            "doubled": len(runs) - len(set(runs)), "misdelivered": wrong,
            "seconds": round(seconds, 1)}


if __name__ == "__main__":
    sys.exit(main())
