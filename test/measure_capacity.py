#!/usr/bin/env python3
"""Slopes for capacity planning of a balancer, each at several sizes up to the later one:
memory and start against the records held, and processor time for a control message."""

import http.client
import json
import socket
import struct
import time

from measure_deployment import Deployment, cpu_ns, memory_kb, wait_for

# Services, members, balancers. The real balancer reads all of them from the platform.
SIZES = [
    (31, 71, 13),
    (1550, 3550, 650),
    (3100, 3100, 13),
    (3100, 7100, 13),
    (31, 71, 1300),
    (3100, 7100, 1300),
]
ZONE = "riga-a"  # of the real balancer; no other is in it, so that it watches the platform
OTHER_ZONES = ["riga-b", "riga-c", "lj-a", "lj-b", "lj-c"]
IDLE_S = 3
SETTLE_S = 5  # after the start
HEARTBEAT_RATES = [100, 500, 2000]
HEARTBEATS_S = 3
SUBSCRIBERS = [0, 4, 8]
CHANGES = 60
CHANGE_GAP_S = 0.12  # longer than the balancer's spacing of watches
PING = 6  # type of a control message
CORE_BOUND = 2.1  # percent
MEMORY_BOUND_KB = 32 * 1024


def pack(value):
    """Encodes the few msgpack types of control messages."""
    if isinstance(value, int):
        return b"\xcf" + struct.pack(">Q", value)
    if isinstance(value, str):
        text = value.encode()
        return b"\xd9" + bytes([len(text)]) + text
    return bytes([0x90 | len(value)]) + b"".join(pack(v) for v in value)


def frame(message):
    data = pack(message)
    return struct.pack(">I", len(data)) + data


def loopback(net, first, index):
    return f"127.{net}.{first + index // 250}.{index % 250 + 1}"


def load_platform(d, services, members, balancers):
    host = d.platform[len("http://") :]
    connection = http.client.HTTPConnection(host)

    def put(key, value):
        headers = {"If-Match": '"0"'}
        connection.request("PUT", "/v1/objects/" + key, json.dumps(value), headers)
        answer = connection.getresponse()
        answer.read()
        assert answer.status == 200, key

    put("fleet/defaults", {"wait_limit_ms": 2000, "slots": 4, "connections": 2000})
    for s in range(services):
        ip = f"10.77.{s // 250}.{s % 250 + 1}"
        address = {"ip": ip, "port": 80, "class": "interactive"}
        put(f"service/service-{s}", {"addresses": [address]})
        entries = []
        for i in range(s, members, services):
            entry = {
                "name": f"host-{i}",
                "zone": OTHER_ZONES[i % 5],
                "ip": loopback(d.net, 40, i),
                "port": 7000,
                "slots": 4,
                "connections": 2000,
                "state": "active",
                "incarnation": 1,
            }
            entries.append(entry)
        put(f"members/service-{s}", {"members": entries})
    for i in range(balancers):
        value = {
            "zone": OTHER_ZONES[i % 5],
            "ip": loopback(d.net, 100, i),
            "data_port": 7000,
            "control_port": 7001,
            "http_port": 7002,
            "incarnation": 1,
        }
        put(f"balancer/other-{i}", value)


def connect(d):
    link = socket.create_connection((d.ips["balancer-1"], 7001), timeout=20)
    link.sendall(frame([1, 1, 1, "host-0", OTHER_ZONES[0], 0]))
    return link


def read_exactly(stream, length):
    data = stream.read(length)
    assert len(data) == length, "the connection ended"
    return data


def subscribe(d):
    """Subscribes to everything; returns the link, bytes and seconds of the answer."""
    link = connect(d)
    stream = link.makefile("rb")
    began = time.monotonic()
    link.sendall(frame([2, 0, ""]))
    total = 0
    while True:
        length = struct.unpack(">I", read_exactly(stream, 4))[0]
        data = read_exactly(stream, length)
        # RECORDS: [3, through_revision, records]; 0 announces further frames.
        if data[1] == 3:
            total += 4 + length
            if data[2] != 0:
                return link, total, time.monotonic() - began


def start_balancer(d):
    """Returns the seconds until the balancer is ready and its processor time in ms."""
    began = time.monotonic()
    d.start_balancer("balancer-1")
    wait_for("the balancer is ready", lambda: d.is_ready("balancer-1"))
    return time.monotonic() - began, cpu_ns(d.pid("balancer-1")) / 1e6


def measure_replica(d, size):
    services, members, balancers = size
    d.start_platform()
    load_platform(d, *size)
    ready_s, cpu_ms = start_balancer(d)
    pid = d.pid("balancer-1")
    rss = memory_kb(pid)
    link, total, seconds = subscribe(d)
    after = memory_kb(pid)
    link.close()
    time.sleep(1)
    before = cpu_ns(pid)
    time.sleep(IDLE_S)
    idle = (cpu_ns(pid) - before) / IDLE_S / 1e7
    line = {
        "figure": "balancer_capacity",
        "services": services,
        "members": members,
        "balancers": balancers,
        "ready_s": round(ready_s, 2),
        "start_cpu_ms": round(cpu_ms),
        "rss_kb": rss,
        "rss_after_subscriber_kb": after,
        "router_bytes": d.metrics("balancer-1").get("dogwoodpaddle_router_bytes"),
        "full_records_bytes": total,
        "full_records_s": round(seconds, 3),
        "idle_core_percent": round(idle, 2),
        "bound_core_percent": CORE_BOUND,
        "bound_kb": MEMORY_BOUND_KB,
        "reached": max(rss, after) <= MEMORY_BOUND_KB and idle <= CORE_BOUND,
    }
    print(json.dumps(line), flush=True)
    return line


def fit(points, name):
    """Least squares of the value over size: constant, per service, member, balancer."""
    rows = [[1, p["services"], p["members"], p["balancers"]] for p in points]
    n = len(rows[0])
    matrix = [
        [sum(r[i] * r[j] for r in rows) for j in range(n)]
        + [sum(r[i] * p[name] for r, p in zip(rows, points))]
        for i in range(n)
    ]
    for i in range(n):
        pivot = max(range(i, n), key=lambda k: abs(matrix[k][i]))
        matrix[i], matrix[pivot] = matrix[pivot], matrix[i]
        for k in range(n):
            if k != i:
                factor = matrix[k][i] / matrix[i][i]
                matrix[k] = [a - factor * b for a, b in zip(matrix[k], matrix[i])]
    return [matrix[i][n] / matrix[i][i] for i in range(n)]


def print_slopes(points):
    for name in ["rss_kb", "full_records_bytes", "start_cpu_ms"]:
        constant, service, member, balancer = fit(points, name)
        line = {
            "figure": "slope",
            "of": name,
            "constant": round(constant, 3),
            "per_service": round(service, 4),
            "per_member": round(member, 4),
            "per_balancer": round(balancer, 4),
            "sizes": SIZES,
        }
        print(json.dumps(line), flush=True)


def idle_share(d):
    """Returns the share of a core that the balancer takes without further messages."""
    before = cpu_ns(d.pid("balancer-1"))
    time.sleep(IDLE_S)
    return (cpu_ns(d.pid("balancer-1")) - before) / IDLE_S / 1e9


def measure_heartbeats(d):
    """The idle share is measured before and after each rate and subtracted."""
    pid = d.pid("balancer-1")
    time.sleep(SETTLE_S)
    idle = idle_share(d)
    with connect(d) as link:
        for rate in HEARTBEAT_RATES:
            count = rate * HEARTBEATS_S
            began = time.monotonic()
            before = cpu_ns(pid)
            for i in range(count):
                link.sendall(frame([4, f"service-{i % 16}", f"host-{i % 16}", 1, 1, 2, 30]))
                pause = began + (i + 1) / rate - time.monotonic()
                if pause > 0:
                    time.sleep(pause)
            took = time.monotonic() - began
            used = cpu_ns(pid) - before
            after = idle_share(d)
            share = (idle + after) / 2
            each = (used / 1e9 - share * took) / count
            line = {
                "figure": "heartbeat_cpu",
                "rate": round(count / took),
                "us_each": round(each * 1e6, 2),
                "core_percent": round(used / took / 1e7, 3),
                "idle_core_percent": round(share * 100, 3),
                "core_percent_at_16_per_s": round(each * 16 * 100, 3),
            }
            print(json.dumps(line), flush=True)
            idle = after


def measure_changes(d):
    """Member changes of one service, relayed to subscribers of everything."""
    pid = d.pid("balancer-1")
    key = "members/service-0"
    links = []
    for count in SUBSCRIBERS:
        while len(links) < count:
            links.append(subscribe(d)[0])
        time.sleep(0.5)
        before = cpu_ns(pid)
        time.sleep(1)
        idle = cpu_ns(pid) - before
        sent = d.metrics("balancer-1")["dogwoodpaddle_control_sent_bytes_total"]
        before = cpu_ns(pid)
        began = time.monotonic()
        for i in range(CHANGES):
            record = d.get(key)
            record["value"]["members"][0]["slots"] = 4 + i % 2
            d.put(key, record["value"], record["version"])
            # A connection that is silent for 6 s is closed.
            for link in links:
                link.sendall(frame([PING]))
            time.sleep(CHANGE_GAP_S)
        took = time.monotonic() - began
        used = cpu_ns(pid) - before - idle * took
        after = d.metrics("balancer-1")["dogwoodpaddle_control_sent_bytes_total"]
        each = used / CHANGES
        line = {
            "figure": "change_cpu",
            "subscribers": count,
            "changes": CHANGES,
            "ms_each": round(each / 1e6, 3),
            "sent_bytes_each": round((after - sent) / CHANGES),
            "core_percent_at_one_in_11_s": round(each / 11 / 1e7, 4),
        }
        print(json.dumps(line), flush=True)


def main():
    points = []
    for size in SIZES:
        with Deployment() as d:
            d.balancers = d.balancers[:1]
            points.append(measure_replica(d, size))
            if size == SIZES[-1]:
                measure_heartbeats(d)
                measure_changes(d)
    print_slopes(points)


if __name__ == "__main__":
    main()
