#!/usr/bin/env python3
"""Throughput of one companion behind one balancer: downloads, new flows a second, a fault
report's latency beside downloads, and the companion's memory and time by flow and packet."""

import json
import socket
import statistics
import threading
import time

from measure_deployment import Deployment, cpu_ns, memory_kb, wait_for

DOWNLOAD_BYTES = 40_000_000
ROUNDS = 3
FLOWS = [100, 1000, 2000]
NEW_FLOWS = [200, 400, 800]
REPORTS = 60
REPORT_GAP_S = 0.03
# A new flow reserves a slot for up to 1 s, and flows are opened faster than servers of
# usual size take them.
SLOTS = 1024
CONNECTIONS = 4000
IDLE_S = 5


def connect(address):
    ip, port = address.split(":")
    return socket.create_connection((ip, int(port)), timeout=30)


def send_request(link, method, path, body=""):
    text = f"{method} {path} HTTP/1.1\r\nHost: measure\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n{body}"
    link.sendall(text.encode())


def read_answer(link):
    """Returns the status and the number of bytes of the answer's body."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = link.recv(65536)
        assert part, "the connection ended"
        data += part
    head, rest = data.split(b"\r\n\r\n", 1)
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    left = length - len(rest)
    while left > 0:
        part = link.recv(min(left, 1 << 20))
        assert part, "the connection ended"
        left -= len(part)
    return int(head.split()[1]), length


def exchange(address, method, path, body=""):
    with connect(address) as link:
        send_request(link, method, path, body)
        status, length = read_answer(link)
        assert status == 200, status
        return length


def download(address, size):
    assert exchange(address, "GET", f"/manuals/{size}") == size


def in_parallel(count, function, *arguments):
    """Runs the function in threads and returns the seconds until all have ended."""
    threads = [threading.Thread(target=function, args=arguments) for _ in range(count)]
    began = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return time.monotonic() - began


def packets(d):
    """Packets routed by the balancer and replies sent by the companion so far."""
    routed = d.metrics("balancer-1")['dogwoodpaddle_routes_total{result="forward"}']
    return routed, d.metrics("darbnica-1")["dogwoodpaddle_replies_total"]


def measure_downloads(d, count):
    rates = []
    direct = []
    costs = []
    names = ["balancer-1", "darbnica-1", "fabric"]
    busy = {name: [] for name in names}
    server = d.ips["darbnica-1"] + ":8000"
    for _ in range(ROUNDS):
        size = DOWNLOAD_BYTES // count
        before = [cpu_ns(d.pid(name)) for name in names]
        began = packets(d)
        took = in_parallel(count, download, d.jobs, size)
        used = [cpu_ns(d.pid(n)) - b for n, b in zip(names, before)]
        ended = packets(d)
        for name, value in zip(names, used):
            busy[name].append(value / took / 1e9)
        costs.append(used[1] / (ended[0] - began[0] + ended[1] - began[1]))
        rates.append(size * count / took / 1e6)
        direct.append(size * count / in_parallel(count, download, server, size) / 1e6)
    line = {
        "figure": "download_rate",
        "downloads": count,
        "mb_per_s": round(statistics.median(rates), 1),
        "direct_to_server_mb_per_s": round(statistics.median(direct), 1),
        "ratio": round(statistics.median([r / x for r, x in zip(rates, direct)]), 3),
        "busy": {n: round(statistics.median(v), 2) for n, v in busy.items()},
        "companion_cpu_ns_per_packet": round(statistics.median(costs)),
    }
    print(json.dumps(line), flush=True)


def open_and_close(address, count):
    for _ in range(count):
        exchange(address, "GET", "/health")


def measure_new_flows(d):
    """Each flow: connection, one short request, close; 8 clients at once."""
    names = ["balancer-1", "darbnica-1", "fabric"]
    for count in NEW_FLOWS:
        before = [cpu_ns(d.pid(n)) for n in names]
        began = packets(d)
        took = in_parallel(8, open_and_close, d.jobs, count // 8)
        used = [cpu_ns(d.pid(n)) - b for n, b in zip(names, before)]
        routed = packets(d)[0] - began[0]
        line = {
            "figure": "new_flows",
            "flows": count,
            "flows_per_s": round(count / took),
            "balancer_cpu_us_per_flow": round(used[0] / count / 1e3, 1),
            "balancer_packets_per_flow": round(routed / count, 1),
            "companion_cpu_us_per_flow": round(used[1] / count / 1e3, 1),
            "fabric_cpu_us_per_flow": round(used[2] / count / 1e3, 1),
            "companion_busy": round(used[1] / took / 1e9, 2),
        }
        print(json.dumps(line), flush=True)


def measure_reports(d):
    """Latency of fault reports, unloaded and beside 8 downloads, alternating; "direct":
    beside the downloads, but to the server itself, which shows the server's share."""
    waits = {"unloaded": [], "loaded": [], "direct": []}
    server = d.ips["darbnica-1"] + ":8000"
    downloads = 0
    for i in range(ROUNDS * 3):
        kind = list(waits)[i % 3]
        threads = []
        for _ in range(0 if kind == "unloaded" else 8):
            thread = threading.Thread(target=download, args=(d.jobs, DOWNLOAD_BYTES))
            thread.start()
            threads.append(thread)
        time.sleep(0.3)
        for j in range(REPORTS // ROUNDS):
            began = time.monotonic()
            body = json.dumps({"id": f"{i}-{j}"})
            exchange(server if kind == "direct" else d.reports, "POST", "/reports", body)
            waits[kind].append((time.monotonic() - began) * 1000)
            time.sleep(REPORT_GAP_S)
        downloads += sum(thread.is_alive() for thread in threads)
        for thread in threads:
            thread.join()
    line = {"figure": "report_latency", "reports": len(waits["loaded"])}
    for kind, values in waits.items():
        values.sort()
        line[f"{kind}_median_ms"] = round(statistics.median(values), 1)
        line[f"{kind}_p95_ms"] = round(values[len(values) * 95 // 100], 1)
        line[f"{kind}_max_ms"] = round(values[-1], 1)
    line["ratio_median"] = round(line["loaded_median_ms"] / line["unloaded_median_ms"], 2)
    line["downloads_at_the_end"] = downloads
    print(json.dumps(line), flush=True)


def flows_of(d):
    return d.status("darbnica-1").get("flows", 0)


def measure_flow_memory(d, used):
    """Opens flows that are left idle; used: each has had one request and answer."""
    pid = d.pid("darbnica-1")
    first = memory_kb(pid)
    links = []
    points = []
    for count in FLOWS:
        while len(links) < count:
            link = connect(d.jobs)
            if used:
                send_request(link, "GET", "/health")
                read_answer(link)
            links.append(link)
        wait_for(f"{count} flows", lambda n=count: flows_of(d) >= n * 0.99, 10)
        rss = memory_kb(pid)
        points.append({"flows": count, "rss_kb": rss})
    span = points[-1]["flows"] - points[0]["flows"]
    slope = (points[-1]["rss_kb"] - points[0]["rss_kb"]) / span
    before = cpu_ns(pid)
    time.sleep(IDLE_S)
    idle = (cpu_ns(pid) - before) / IDLE_S / 1e7
    line = {
        "figure": "companion_memory",
        "kind": "idle after a request" if used else "established, nothing sent",
        "rss_without_flows_kb": first,
        "points": points,
        "kb_per_flow": round(slope, 2),
        "idle_core_percent_with_all_flows": round(idle, 2),
    }
    print(json.dumps(line), flush=True)
    for link in links:
        link.close()
    wait_for("the flows have ended", lambda: flows_of(d) == 0, 60)


def measure_idle(d):
    for name in ["balancer-1", "darbnica-1"]:
        before = cpu_ns(d.pid(name))
        time.sleep(IDLE_S)
        percent = (cpu_ns(d.pid(name)) - before) / IDLE_S / 1e7
        rss = memory_kb(d.pid(name))
        line = {
            "figure": "idle_process",
            "process": name,
            "core_percent": round(percent, 3),
            "rss_kb": rss,
            "bound_core_percent": 2.1,
            "bound_kb": 32768,
            "reached": percent <= 2.1 and rss <= 32768,
        }
        print(json.dumps(line), flush=True)


def start(d):
    """Starts one balancer, one companion with its server, and the fabric."""
    d.balancers = d.balancers[:1]
    d.start_platform()
    d.put_fleet()
    defaults = {"wait_limit_ms": 10000, "slots": SLOTS, "connections": CONNECTIONS}
    d.put("fleet/defaults", defaults, d.get("fleet/defaults")["version"])
    d.start_balancer("balancer-1")
    ip = f"127.{d.net}.2.10"
    d.start_server("darbnica-1", "darbnica", "riga-a", ip, SLOTS)
    d.start_fabric()
    wait_for("the server is a member", lambda: d.active() == 1)
    wait_for("the companion is ready", lambda: d.is_ready("darbnica-1"))
    time.sleep(1)
    exchange(d.jobs, "GET", "/health")


def main():
    # Each kind of flow meets a new companion, which has no memory left from others.
    for used in (False, True):
        with Deployment() as d:
            start(d)
            if not used:
                measure_idle(d)
            measure_flow_memory(d, used)
    with Deployment() as d:
        start(d)
        measure_downloads(d, 1)
        measure_downloads(d, 8)
        measure_new_flows(d)
        measure_reports(d)


if __name__ == "__main__":
    main()
