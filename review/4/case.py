"""DRAIN: one heartbeat of another writer, without the field address, during a drain."""

import http.client
import json
import os
import random
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import common  # noqa: E402
from common import standins  # noqa: E402

RATE = 40  # requests a second
AFTER_ACK_S = 2.0  # from the acknowledgement of the drain to the other writer's heartbeat


def send_heartbeat(ip, service):
    """What another writer says: the field address is missing, the others are well formed."""
    body = {"service": service, "zone": "riga-a", "version": "v1", "slots": 4,
            "state": "ready", "warmup_left_ms": 0, "sequence": 1,
            "born": int(time.time() * 1000)}
    connection = http.client.HTTPConnection(ip, standins.ANNOUNCE_PORT, timeout=1)
    try:
        connection.request("POST", "/instances/i-other-writer/heartbeat", json.dumps(body),
                           {"Content-Type": "application/json"})
        return connection.getresponse().status
    finally:
        connection.close()


def play(site, record, trouble):
    site.configure(common.ROUTES)
    for i in range(4):
        site.add_balancer(common.ZONES[i % 3])
    for i in range(6):
        site.add_server("darbnica", common.ZONES[i % 3], slots=4, work_s=0.026)
    for i in range(3):
        site.add_server("rokasgramata", common.ZONES[i % 3], slots=4, answer=b"m" * 40000)
    site.wait_ready(8.0)
    client = standins.RoutedClients(site, standins.Router(site.balancers, True,
                                                          random.Random(1)),
                                    random.Random(2))
    site.clients.append(client)
    leaving = site.servers[0]
    number = 0

    def load(until):
        nonlocal number
        while time.monotonic() < until:
            number += 1
            client.start(common.ROUTES[number % 2][:2], b"request-%d" % number)
            client.run(time.monotonic() + 1 / RATE)

    load(time.monotonic() + 5)
    leaving.state = "draining"
    record.line(f"{leaving.identity} says draining from now on")
    while leaving.acknowledged_at is None:
        load(time.monotonic() + 0.1)
    record.line(f"draining of {leaving.identity} was acknowledged", leaving.acknowledged_at)
    load(leaving.acknowledged_at + AFTER_ACK_S)
    if trouble:
        status = send_heartbeat(leaving.ip, leaving.service)
        record.line(f"another writer's heartbeat without address: status {status}")
    load(leaving.acknowledged_at + 9)
    client.run(time.monotonic() + 3, client.flows.values())
    client.router.closed = True
    common.write_requests(record, site, [client])
    late = [(key, at) for key, at in leaving.syns
            if at > leaving.acknowledged_at + common.DRAIN_S]
    sent = {flow["key"]: flow["started"] for flow in client.flows.values()}
    for key, at in late:
        record.line(f"opening packet at the draining server {at - leaving.acknowledged_at:.2f}"
                    f" s after the acknowledgement, sent "
                    f"{sent[key] - leaving.acknowledged_at:.2f} s after it: {key}", at)
    runs = sum(1 for _, _, at in leaving.runs
               if at > leaving.acknowledged_at + common.DRAIN_S)
    if late:
        return (f"{len(late)} opening packets reached {leaving.identity} later than drain_ms "
                f"after the acknowledgement, the last one after "
                f"{max(at for _, at in late) - leaving.acknowledged_at:.2f} s; {runs} runs")
    return None


common.run_case(os.path.dirname(os.path.abspath(__file__)), play)
