#!/usr/bin/env python3
"""Runs real balancers and the platform stand-in, and fails them.

Guards against balancers that lose their records or go back to older ones, remove members
or balancers that live, keep dead ones, or register more than once.
"""

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

BUILD = os.environ.get("DP_BINARY_DIR", "build")
# Addresses of this run: several checks may run on one machine at the same time.
NETWORK = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"
PLATFORM = NETWORK + ".1:7100"
ZONES = ["riga-a", "riga-b", "riga-c"]
WAIT_S = 30
CONTROL_BYTES_A_SECOND = 2048  # bound of design section 9
MEASURE_S = 5
MESSAGE_VERSION = 2  # DP_MESSAGE_VERSION; a peer of another version is refused


def http(method, url, value=None, version=None):
    """Returns status and parsed body; status 0 without an answer."""
    headers = {} if version is None else {"If-Match": '"%d"' % version}
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, data=data, headers=headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            text = answer.read()
            is_json = "json" in answer.headers.get("Content-Type", "")
            return answer.status, json.loads(text) if is_json else None
    except urllib.error.HTTPError as error:
        return error.code, None
    except OSError:
        return 0, None


def put(key, value, version=0):
    status, body = http("PUT", f"http://{PLATFORM}/v1/objects/{key}", value, version)
    assert status == 200, (key, status)
    return body["version"]


def get(key):
    return http("GET", f"http://{PLATFORM}/v1/objects/{key}")[1]


def faults(**values):
    assert http("PUT", f"http://{PLATFORM}/v1/faults", values)[0] == 200


def calls():
    return sum(http("GET", f"http://{PLATFORM}/v1/calls")[1].values())


def wait_for(what, condition, seconds=WAIT_S):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"not within {seconds} s: {what}")


def pack(value):
    """Encodes the few msgpack types of control messages."""
    if isinstance(value, int):
        return b"\xcf" + struct.pack(">Q", value)
    if isinstance(value, str):
        text = value.encode()
        return b"\xd9" + bytes([len(text)]) + text
    return bytes([0x90 | len(value)]) + b"".join(pack(v) for v in value)


class Process:
    def __init__(self, arguments, log):
        self.child = subprocess.Popen(arguments, stderr=log)

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()

    def stop(self):
        self.child.terminate()
        return self.child.wait(WAIT_S)


class Balancer:
    def __init__(self, folder, index):
        self.ip = f"{NETWORK}.{index + 11}"
        self.name = f"balancer-{index + 1}"
        self.file = os.path.join(folder, self.name + ".json")
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        settings = {
            "name": self.name,
            "zone": ZONES[index],
            "region": "lv-riga",
            "data": self.ip + ":7000",
            "control": self.ip + ":7001",
            "http": self.ip + ":7002",
            "platform": "http://" + PLATFORM,
            "peers": [f"{NETWORK}.{i + 11}:7001" for i in range(len(ZONES))],
            "trusted_networks": ["127.0.0.0/8"],
        }
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        program = os.path.join(BUILD, "dogwoodpaddle-balancer")
        self.process = Process([program, "--settings", self.file], self.log)

    def status(self):
        return http("GET", f"http://{self.ip}:7002/status")[1] or {}

    def ready(self):
        return http("GET", f"http://{self.ip}:7002/ready")[0] == 200

    def metric(self, name):
        url = f"http://{self.ip}:7002/metrics"
        with urllib.request.urlopen(url, timeout=5) as answer:
            for line in answer.read().decode().splitlines():
                if line.startswith(name + " "):
                    return int(line.split()[-1])
        return 0

    def control_bytes(self):
        return self.metric("dogwoodpaddle_control_sent_bytes_total") + self.metric(
            "dogwoodpaddle_control_received_bytes_total"
        )


class Companion(threading.Thread):
    """Sends heartbeats as a companion does, to all balancers."""

    def __init__(self, name):
        super().__init__(daemon=True)
        self.name = name
        self.alive = True
        self.incarnation = 1

    def entry(self, port):
        return {
            "name": self.name,
            "zone": ZONES[0],
            "ip": NETWORK + ".21",
            "port": port,
            "slots": 4,
            "connections": 2000,
            "state": "active",
            "incarnation": self.incarnation,
        }

    def run(self):
        links = {}
        while self.alive:
            for i in range(len(ZONES)):
                try:
                    self.beat(links, i)
                except OSError:
                    links.pop(i, None)
            time.sleep(0.5)

    def beat(self, links, i):
        if i not in links:
            links[i] = socket.create_connection((f"{NETWORK}.{i + 11}", 7001), timeout=1)
            self.send(links[i], [1, MESSAGE_VERSION, 1, self.name, ZONES[0], 0])
        self.send(links[i], [4, "darbnica", self.name, self.incarnation, 1, 2, 30])

    @staticmethod
    def send(link, message):
        data = pack(message)
        link.sendall(struct.pack(">I", len(data)) + data)


def member_names():
    return {member["name"] for member in get("members/darbnica")["value"]["members"]}


def balancer_names():
    items = http("GET", f"http://{PLATFORM}/v1/objects?kind=balancer")[1]["items"]
    return {item["name"] for item in items}


def check_start(balancers):
    before = calls()
    for balancer in balancers:
        balancer.start()
    for balancer in balancers:
        wait_for("ready", balancer.ready)
    wait_for("registered", lambda: len(balancer_names()) == len(balancers))
    assert calls() - before < 30


def check_idle(balancers):
    """Calls to the platform and control bytes stay bounded while nothing changes."""
    time.sleep(1)
    before = calls()
    bytes_before = [balancer.control_bytes() for balancer in balancers]
    time.sleep(MEASURE_S)
    n_calls = calls() - before
    for balancer, start in zip(balancers, bytes_before):
        rate = (balancer.control_bytes() - start) / MEASURE_S
        print(f"{balancer.name}: {rate:.0f} control bytes a second")
        assert rate < CONTROL_BYTES_A_SECOND
    print(f"platform: {n_calls} calls in {MEASURE_S} s")
    assert n_calls <= len(balancers)


def check_routing(balancers, port):
    """A packet of the network reaches a member with a header in front of it."""
    packet = bytes.fromhex(
        "4500002800014000400600000a0000090a4d00019c4000500000000003e8000050"
        "02ffff00000000"
    )
    packet = packet[:20] + struct.pack(
        ">HHIIBBHHH", 40000, 80, 1000, 0, 0x50, 2, 65535, 0, 0
    )
    client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    client.bind((NETWORK + ".31", 0))
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind((NETWORK + ".21", port))
    server.settimeout(5)
    for balancer in balancers:
        client.sendto(packet, (balancer.ip, 7000))
        datagram, source = server.recvfrom(4096)
        assert datagram.endswith(packet) and len(datagram) > len(packet)
        assert source[0] == balancer.ip
    client.sendto(b"garbage", (balancers[0].ip, 7000))
    name = 'dogwoodpaddle_faults_total{kind="malformed packet"}'
    wait_for("malformed packet counted", lambda: balancers[0].metric(name) == 1)
    server.close()


def check_member_dies(companions):
    companions[2].alive = False
    wait_for("dead member removed", lambda: member_names() == {"m0", "m1"})


def check_pause(balancers):
    """A balancer that was frozen longer than any limit removes nobody afterwards."""
    balancers[0].process.signal(signal.SIGSTOP)
    time.sleep(6)
    balancers[0].process.signal(signal.SIGCONT)
    pauses = "dogwoodpaddle_watcher_pauses_total"
    wait_for("pause noticed", lambda: balancers[0].metric(pauses) >= 1)
    wait_for("registered again", lambda: len(balancer_names()) == len(balancers))
    time.sleep(5)
    assert member_names() == {"m0", "m1"}
    assert len(balancer_names()) == len(balancers)


def check_platform_down(balancers):
    """A balancer that starts while the platform is down has its records from a peer."""
    revision = balancers[0].status()["revision"]
    faults(down=True)
    balancers[1].process.kill()
    balancers[1].start()
    wait_for("ready without the platform", balancers[1].ready)
    assert balancers[1].status()["revision"] >= revision
    time.sleep(6)
    wait_for(
        "outage reported",
        lambda: not balancers[1].status()["platform"]["reachable"],
    )
    faults(down=False)
    wait_for("platform seen again", lambda: balancers[1].status()["platform"]["reachable"])
    version = get("fleet/defaults")["version"]
    put("fleet/defaults", {"visits": 3}, version)
    newest = get("fleet/defaults")["version"]
    for balancer in balancers:
        wait_for("in force", lambda b=balancer: b.status().get("revision", 0) >= newest)
    assert member_names() == {"m0", "m1"}


def check_balancer_dies(balancers):
    """The others agree to remove it; when it starts again it registers once."""
    balancers[2].process.kill()
    wait_for("dead balancer removed", lambda: balancers[2].name not in balancer_names())
    faults(lose_answers=1)
    before = http("GET", f"http://{PLATFORM}/v1/objects")[1]["revision"]
    balancers[2].start()
    wait_for("registered", lambda: balancers[2].status().get("registered", False))
    time.sleep(1)
    assert http("GET", f"http://{PLATFORM}/v1/objects")[1]["revision"] == before + 1


def check_stop(balancers):
    for balancer in balancers:
        assert balancer.process.stop() == 0
    assert balancer_names() == set()


def run(folder):
    log = open(os.path.join(folder, "platform.log"), "ab")
    program = os.path.join(BUILD, "standin-platform")
    platform = Process([program, "--listen", PLATFORM], log)
    balancers = [Balancer(folder, i) for i in range(len(ZONES))]
    companions = [Companion(f"m{i}") for i in range(3)]
    try:
        wait_for("platform", lambda: http("GET", f"http://{PLATFORM}/v1/objects")[0] == 200)
        put("fleet/defaults", {"visits": 4, "suspect_ms": 2000, "heartbeat_ms": 500})
        addresses = [{"ip": "10.77.0.1", "port": 80, "class": "interactive"}]
        put("service/darbnica", {"addresses": addresses})
        check_start(balancers)
        for companion in companions:
            companion.start()
        put("members/darbnica", {"members": [c.entry(7000) for c in companions]})
        for balancer in balancers:
            wait_for(
                "heartbeats heard",
                lambda b=balancer: sum(w["heard"] for w in b.status()["watched"]) == 3,
            )
        check_routing(balancers, 7000)
        check_idle(balancers)
        check_member_dies(companions)
        check_pause(balancers)
        check_platform_down(balancers)
        check_balancer_dies(balancers)
        check_stop(balancers)
    except BaseException:
        for name in sorted(os.listdir(folder)):
            if name.endswith(".log"):
                with open(os.path.join(folder, name), encoding="utf-8") as file:
                    print(f"== {name}\n{file.read()}")
        raise
    finally:
        for companion in companions:
            companion.alive = False
        for balancer in balancers:
            if balancer.process is not None:
                balancer.process.kill()
        platform.kill()


def main():
    with tempfile.TemporaryDirectory() as folder:
        run(folder)
    print("ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
