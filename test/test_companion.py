#!/usr/bin/env python3
"""Runs real companions with balancers, backend servers and the network stand-in.

Guards against a companion that takes flows without a server, loses its flows on a planned
stop, stays in the list of members, or doesn't end.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

BUILD = os.environ.get("DP_BINARY_DIR", "build")
# Runs at the same time use other addresses.
NETWORK = f"127.{200 + os.getpid() % 50}"
GROUP = 3 * (os.getpid() // 50 % 80)
PLATFORM = f"{NETWORK}.{GROUP}.1:7100"
FABRIC = f"{NETWORK}.{GROUP}.2"
SERVICE = "darbnica"
ADDRESS = "10.77.0.1:80"
BALANCERS = 2
COMPANIONS = 3
WAIT_S = 30
MANUAL_BYTES = 3000000


def http(method, url, value=None, headers=None):
    """Returns status and body; status 0 without an answer."""
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(
        url, data=data, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def put(key, value, version=0):
    url = f"http://{PLATFORM}/v1/objects/{key}"
    status, _ = http("PUT", url, value, {"If-Match": '"%d"' % version})
    assert status == 200, (key, status)


def members():
    """Returns the state of each member in the platform."""
    status, body = http("GET", f"http://{PLATFORM}/v1/objects/members/{SERVICE}")
    if status != 200:
        return {}
    return {m["name"]: m["state"] for m in json.loads(body)["value"]["members"]}


def wait_for(what, condition, seconds=WAIT_S):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"not within {seconds} s: {what}")


class Process:
    """A program with a settings file of its own, if it has settings."""

    def __init__(self, folder, name, arguments, settings=None):
        self.log_file = os.path.join(folder, name + ".log")
        if settings is not None:
            file = os.path.join(folder, name + ".json")
            with open(file, "w", encoding="utf-8") as stream:
                json.dump(settings, stream)
            arguments = arguments + ["--settings", file]
        arguments[0] = os.path.join(BUILD, arguments[0])
        with open(self.log_file, "ab") as log:
            self.child = subprocess.Popen(arguments, stdout=log, stderr=log)

    def running(self):
        return self.child.poll() is None

    def kill(self):
        if self.running():
            self.child.kill()
        self.child.wait()

    def log(self):
        with open(self.log_file, encoding="utf-8", errors="replace") as stream:
            return stream.read()


def settings_of(name, zone, ip, more):
    settings = {
        "name": name,
        "zone": zone,
        "region": "lv-riga",
        "data": ip + ":7000",
        "http": ip + ":7002",
        "platform": "http://" + PLATFORM,
        "peers": [f"{NETWORK}.{GROUP + 1}.{i + 1}:7001" for i in range(BALANCERS)],
        "trusted_networks": ["127.0.0.0/8"],
    }
    settings.update(more)
    return settings


class Member:
    """A companion and its backend server."""

    def __init__(self, folder, index):
        self.folder = folder
        self.ip = f"{NETWORK}.{GROUP + 2}.{index + 1}"
        self.name = f"{SERVICE}-{index + 1}"
        self.zone = ["riga-a", "riga-b", "riga-c"][index % 3]
        self.companion = None
        self.backend = None

    def start_companion(self):
        more = {"service": SERVICE, "server_ip": self.ip}
        self.companion = Process(
            self.folder,
            self.name,
            ["dogwoodpaddle-companion"],
            settings_of(self.name, self.zone, self.ip, more),
        )

    def start_backend(self):
        arguments = f"--listen {self.ip}:8000 --companion {self.ip}:7002"
        arguments += f" --service {SERVICE} --name {self.name}"
        arguments += " --slots 4 --connections 2000 --service-ms 5"
        self.backend = Process(
            self.folder, self.name + "-server", ["standin-backend"] + arguments.split()
        )

    def status(self):
        status, body = http("GET", f"http://{self.ip}:7002/status")
        return json.loads(body) if status == 200 else {}

    def ready(self):
        return http("GET", f"http://{self.ip}:7002/ready")[0] == 200


class Download(threading.Thread):
    """Reads a manual slowly; the result is the number of bytes or the error."""

    def __init__(self, seconds):
        super().__init__(daemon=True)
        self.seconds = seconds
        self.result = None
        self.begun = threading.Event()
        self.start()

    def run(self):
        try:
            self.result = self.read()
        except OSError as error:
            self.result = error

    def read(self):
        client = socket.create_connection((FABRIC, 8080), timeout=20)
        client.sendall(
            f"GET /manuals/{MANUAL_BYTES} HTTP/1.1\r\nHost: m\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        begin = time.monotonic()
        received = 0
        while data := client.recv(65536):
            received += len(data)
            self.begun.set()
            ahead = received / MANUAL_BYTES * self.seconds - (time.monotonic() - begin)
            if ahead > 0:
                time.sleep(ahead)
        return received

    def whole(self):
        self.join(WAIT_S)
        return isinstance(self.result, int) and self.result >= MANUAL_BYTES


class Deployment:
    def __init__(self, folder):
        self.folder = folder
        self.processes = []
        self.members = [Member(folder, i) for i in range(COMPANIONS)]
        self.add("platform", ["standin-platform", "--listen", PLATFORM])
        wait_for(
            "the platform answers",
            lambda: http("GET", f"http://{PLATFORM}/v1/objects")[0] == 200,
        )
        put("fleet/defaults", {"slots": 4, "drain_deadline_s": 20, "trace_sample": 1})
        ip, port = ADDRESS.split(":")
        address = {"ip": ip, "port": int(port), "class": "interactive"}
        put(f"service/{SERVICE}", {"addresses": [address]})
        for i in range(BALANCERS):
            name = f"balancer-{i + 1}"
            ip = f"{NETWORK}.{GROUP + 1}.{i + 1}"
            more = {"control": ip + ":7001"}
            settings = settings_of(name, ["riga-a", "riga-b"][i], ip, more)
            self.add(name, ["dogwoodpaddle-balancer"], settings)
        balancers = " ".join(
            f"--balancer {NETWORK}.{GROUP + 1}.{i + 1}:7000/7002" for i in range(BALANCERS)
        )
        options = f"--map {FABRIC}:8080={ADDRESS} {balancers} --udp {FABRIC}:6000"
        self.add("fabric", ["standin-fabric"] + options.split())

    def add(self, name, arguments, settings=None):
        self.processes.append(Process(self.folder, name, arguments, settings))

    def stop(self):
        for member in self.members:
            for process in (member.companion, member.backend):
                if process is not None:
                    process.kill()
        for process in self.processes:
            process.kill()


def fetch_job(number):
    status, body = http("GET", f"http://{FABRIC}:8080/jobs/{number}")
    return status == 200 and len(body) > 0


def test_join(deployment):
    """No member without a server; with one it becomes active and serves."""
    for member in deployment.members:
        member.start_companion()
    wait_for(
        "companions are connected",
        lambda: all(m.status().get("connected") for m in deployment.members),
    )
    time.sleep(1)
    assert members() == {}, members()
    for member in deployment.members:
        member.start_backend()
    wait_for("members are ready", lambda: all(m.ready() for m in deployment.members))
    assert set(members().values()) == {"active"}, members()
    wait_for("a first answer", lambda: fetch_job(1))
    assert all(fetch_job(i) for i in range(50))
    status = deployment.members[0].status()
    for key in ("name", "service", "zone", "state", "flows", "half_open"):
        assert key in status, status
    assert set(status["waiting"]) == {"urgent", "interactive", "bulk"}, status


def test_bad_registration(deployment):
    member = deployment.members[0]
    url = f"http://{member.ip}:7002/v1/server"
    status, body = http("PUT", url, {"port": 0, "slots": 4})
    assert status == 400 and b"port" in body, (status, body)
    assert member.ready()


def test_bad_settings(deployment):
    """An invalid object leaves the settings in force as they are."""
    url = f"http://{PLATFORM}/v1/objects/service/{SERVICE}"
    version = json.loads(http("GET", url)[1])["version"]
    put(f"service/{SERVICE}", {"addresses": [{"ip": "nowhere"}]}, version)
    wait_for(
        "the record is reported",
        lambda: all("is ignored" in m.companion.log() for m in deployment.members),
    )
    # A balancer may have dropped the address; the companions still serve it.
    version = json.loads(http("GET", url)[1])["version"]
    ip, port = ADDRESS.split(":")
    address = {"ip": ip, "port": int(port), "class": "interactive"}
    put(f"service/{SERVICE}", {"addresses": [address]}, version)
    wait_for("answers again", lambda: all(fetch_job(i) for i in range(10)))


def holder_of(deployment):
    """Returns a member that has flows."""
    for member in deployment.members:
        if member.status().get("flows", 0) > 0:
            return member
    return None


def test_graceful_stop(deployment):
    """A planned stop lets a download end, takes no new flow and removes the entry."""
    wait_for("no flow is left", lambda: holder_of(deployment) is None)
    download = Download(3)
    assert download.begun.wait(10), download.result
    wait_for("a member has the flow", lambda: holder_of(deployment) is not None)
    member = holder_of(deployment)
    member.companion.child.send_signal(signal.SIGTERM)
    wait_for("it leaves", lambda: members().get(member.name) == "leaving")
    assert all(fetch_job(i) for i in range(30))
    assert download.whole(), download.result
    wait_for("it ends", lambda: not member.companion.running())
    assert member.companion.child.returncode == 0
    assert member.name not in members(), members()
    assert "interrupted" not in member.companion.log()
    member.start_companion()
    wait_for("it is back", member.ready)


def test_second_signal(deployment):
    """A second signal resets the flows that are left and says so."""
    download = Download(20)
    assert download.begun.wait(10), download.result
    wait_for("a member has the flow", lambda: holder_of(deployment) is not None)
    member = holder_of(deployment)
    member.companion.child.send_signal(signal.SIGTERM)
    wait_for("it leaves", lambda: members().get(member.name) == "leaving")
    member.companion.child.send_signal(signal.SIGTERM)
    wait_for("it ends", lambda: not member.companion.running(), 15)
    assert "interrupted 1 flows" in member.companion.log()
    assert not download.whole()
    member.start_companion()
    wait_for("it is back", member.ready)


def test_server_dies(deployment):
    """While its server is gone a companion passes new flows on."""
    member = deployment.members[0]
    member.backend.kill()
    wait_for("the server is seen down", lambda: not member.ready())
    assert all(fetch_job(i) for i in range(50))
    member.start_backend()
    wait_for("the server is back", member.ready)


def test_server_leaves(deployment):
    """A server that says it is leaving takes its companion out of the list."""
    member = deployment.members[1]
    member.backend.child.send_signal(signal.SIGTERM)
    wait_for("the entry is removed", lambda: member.name not in members())
    assert member.companion.running()
    assert all(fetch_job(i) for i in range(20))


def test_platform_down(deployment):
    """With the platform down a stopped companion passes new flows on until the deadline.

    Its entry can't be removed meanwhile, so balancers go on sending it new flows."""
    deployment.processes[0].kill()
    assert all(fetch_job(i) for i in range(20))
    member = deployment.members[2]
    member.companion.child.send_signal(signal.SIGTERM)
    assert all(fetch_job(i) for i in range(20))
    assert member.companion.running()
    fetched = 0
    while member.companion.running():
        assert fetch_job(fetched) or not member.companion.running()
        fetched += 1
        assert fetched < 100000
    assert fetched > 0
    assert member.companion.child.returncode == 0
    assert "did not confirm the removal" in member.companion.log()


TESTS = [
    test_join,
    test_bad_registration,
    test_bad_settings,
    test_graceful_stop,
    test_second_signal,
    test_server_dies,
    test_server_leaves,
    test_platform_down,
]


def main():
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder)
        try:
            for test in TESTS:
                begin = time.monotonic()
                test(deployment)
                print(f"ok {test.__name__} {time.monotonic() - begin:.1f} s", flush=True)
        except AssertionError:
            for name in sorted(os.listdir(folder)):
                if name.endswith(".log"):
                    with open(os.path.join(folder, name), encoding="utf-8") as log:
                        tail = "".join(log.readlines()[-15:])
                    print(f"--- {name}\n{tail}", file=sys.stderr)
            raise
        finally:
            deployment.stop()


main()
