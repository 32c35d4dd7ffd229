#!/usr/bin/env python3
"""Packets a second through a real balancer beside a bare UDP relay, in alternating rounds.

Also the main thread's processor time for each packet that left. Argument: rounds (9).
"""

import json
import os
import statistics
import subprocess
import sys

from measure_deployment import BUILD, Deployment, cpu_ns, wait_for

SINK_PORT = 7900
MEMBERS = 7
MILLISECONDS = 600
BOUND = 0.5


def member(index, ip):
    return {
        "name": f"darbnica-{index + 1}",
        "zone": "riga-a",
        "ip": ip,
        "port": SINK_PORT,
        "slots": 4,
        "connections": 2000,
        "state": "active",
        "incarnation": 1,
    }


def load(target, sink, packet_bytes, pid):
    """Returns packets a second, the process's nanoseconds for each packet and the share
    of the time that it was busy, which is near 1 if it was the slowest part."""
    before = cpu_ns(pid)
    arguments = [target, sink, "10.77.0.1:80", str(packet_bytes), str(MILLISECONDS)]
    text = subprocess.run(
        [os.path.join(BUILD, "packet_load"), *arguments],
        stdout=subprocess.PIPE,
        check=True,
    ).stdout
    line = json.loads(text)
    # The warm-up lasts a tenth of the counted time.
    packets = max(line["arrived"] * 1.1, 1)
    used = cpu_ns(pid) - before
    return line["packets_per_s"], used / packets, used / (line["seconds"] * 1.1e9)


def measure(d, rounds, packet_bytes):
    sink = f"127.{d.net}.9.1:{SINK_PORT}"
    targets = {"balancer": d.ips["balancer-1"] + ":7000", "relay": f"127.{d.net}.9.2:7000"}
    rates = {name: [] for name in targets}
    costs = {name: [] for name in targets}
    busy = []
    for _ in range(rounds):
        for name, target in targets.items():
            pid = d.pid("balancer-1" if name == "balancer" else name)
            rate, cost, share = load(target, sink, packet_bytes, pid)
            busy.append(share)
            rates[name].append(rate)
            costs[name].append(cost)
    ratios = [b / r for b, r in zip(rates["balancer"], rates["relay"])]
    cpu_ratios = [r / b for b, r in zip(costs["balancer"], costs["relay"])]
    ratio = statistics.median(ratios)
    line = {
        "figure": "packets_per_second",
        "packet_bytes": packet_bytes,
        "rounds": rounds,
        "balancer": round(statistics.median(rates["balancer"])),
        "relay": round(statistics.median(rates["relay"])),
        "ratio": round(ratio, 3),
        "ratio_min": round(min(ratios), 3),
        "ratio_max": round(max(ratios), 3),
        "balancer_cpu_ns": round(statistics.median(costs["balancer"])),
        "relay_cpu_ns": round(statistics.median(costs["relay"])),
        "cpu_ratio": round(statistics.median(cpu_ratios), 3),
        "busy_median": round(statistics.median(busy), 2),
        "bound": BOUND,
        "reached": ratio >= BOUND,
    }
    print(json.dumps(line), flush=True)


def main():
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 9
    with Deployment() as d:
        d.balancers = d.balancers[:1]
        sink_ip = f"127.{d.net}.9.1"
        d.start_platform()
        d.put_fleet()
        members = [member(i, sink_ip) for i in range(MEMBERS)]
        d.put("members/darbnica", {"members": members})
        d.start_balancer("balancer-1")
        d.start("relay", "udp_relay", f"127.{d.net}.9.2:7000", f"{sink_ip}:{SINK_PORT}")
        wait_for("the balancer is ready", lambda: d.is_ready("balancer-1"))
        for packet_bytes in (64, 1400):
            measure(d, rounds, packet_bytes)


main()
