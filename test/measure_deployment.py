"""A deployment of real processes on loopback addresses, for the measurements."""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

BUILD = os.environ.get("DP_BUILD_DIR", "build")
STOP_S = 5  # that processes get to end by themselves
ZONES = ["riga-a", "riga-b", "riga-c"]
FLEET = {
    "defaults": {"wait_limit_ms": 2000, "slots": 4, "connections": 2000},
    "services": {
        "darbnica": {
            "addresses": [
                {"ip": "10.77.0.1", "port": 80, "class": "interactive"},
                {"ip": "10.77.0.1", "port": 81, "class": "urgent"},
            ]
        },
        "rokasgramata": {
            "addresses": [{"ip": "10.77.0.2", "port": 80, "class": "bulk"}]
        },
    },
}


def http(method, url, value=None, version=None, timeout=10):
    """Returns status and body (parsed if it is JSON); status 0 without an answer."""
    headers = {} if version is None else {"If-Match": '"%d"' % version}
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, data=data, headers=headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            text = answer.read()
            is_json = "json" in answer.headers.get("Content-Type", "")
            return answer.status, json.loads(text) if is_json else text.decode()
    except urllib.error.HTTPError as error:
        return error.code, None
    except OSError:
        return 0, None


def wait_for(what, condition, seconds=30):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f"not within {seconds} s: {what}")


def free_net():
    """Returns a second byte of the loopback network on which nobody listens."""
    for net in random.sample(range(1, 250), 40):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{net}.0.1", 7002))
                return net
            except OSError:
                continue
    raise AssertionError("no free loopback addresses")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def cpu_ns(pid):
    """Returns the time that the process's main thread has run."""
    with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[0])


def memory_kb(pid, field="VmRSS"):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith(field + ":"):
                return int(line.split()[1])
    return 0


class Deployment:
    """Starts processes and ends them all when its with block is left."""

    def __init__(self):
        self.net = free_net()
        self.children = {}
        self.balancers = [f"balancer-{i + 1}" for i in range(3)]
        self.ips = {n: f"127.{self.net}.1.{i + 1}" for i, n in enumerate(self.balancers)}
        self.zones = dict(zip(self.balancers, ZONES))
        self.services = {}
        self.platform = f"http://127.{self.net}.0.1:7002"
        self.fabric = f"http://127.{self.net}.0.2:7002"
        self.jobs = f"127.{self.net}.0.2:8000"
        self.reports = f"127.{self.net}.0.3:8000"
        self.manuals = f"127.{self.net}.0.4:8000"
        self.folder = None

    def __enter__(self):
        self.folder = tempfile.TemporaryDirectory()
        return self

    def __exit__(self, *_):
        order = list(self.children)
        groups = [
            [n for n in order if n != "platform" and n not in self.balancers],
            [n for n in order if n in self.balancers],
            [n for n in order if n == "platform"],
        ]
        for group in groups:
            for name in group:
                self.children[name].terminate()
            end = time.monotonic() + STOP_S
            for name in group:
                self.stop(name, max(end - time.monotonic(), 0))
        self.folder.cleanup()

    def start(self, name, program, *arguments):
        log = os.path.join(self.folder.name, name + ".log")
        with open(log, "ab") as stream:
            self.children[name] = subprocess.Popen(
                [os.path.join(BUILD, program), *map(str, arguments)],
                stdout=stream,
                stderr=stream,
            )

    def pid(self, name):
        return self.children[name].pid

    def stop(self, name, seconds=20):
        child = self.children.pop(name)
        if child.poll() is None:
            child.terminate()
        try:
            child.wait(seconds)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()

    def kill(self, name):
        child = self.children.pop(name)
        child.send_signal(signal.SIGKILL)
        child.wait()

    def start_platform(self):
        self.start(
            "platform", "standin-platform", "--listen", f"127.{self.net}.0.1:7002"
        )
        wait_for("the platform answers", lambda: self.calls() is not None)

    def calls(self):
        return http("GET", self.platform + "/v1/calls")[1]

    def put(self, key, value, version=0):
        url = f"{self.platform}/v1/objects/{key}"
        status, body = http("PUT", url, value, version)
        assert status == 200, (key, status)
        return body["version"]

    def get(self, key):
        return http("GET", f"{self.platform}/v1/objects/{key}")[1]

    def put_fleet(self):
        self.put("fleet/defaults", FLEET["defaults"])
        for name, value in FLEET["services"].items():
            self.put("service/" + name, value)

    def settings(self, name, **more):
        ip = self.ips[name]
        values = {
            "name": name,
            "zone": self.zones[name],
            "region": "lv-riga",
            "data": ip + ":7000",
            "http": ip + ":7002",
            "platform": self.platform,
            "peers": [self.ips[n] + ":7001" for n in self.balancers if n != name],
            "trusted_networks": ["127.0.0.0/8"],
            "log_level": "warning",
            **more,
        }
        file = os.path.join(self.folder.name, name + ".json")
        with open(file, "w", encoding="utf-8") as stream:
            json.dump(values, stream)
        return file

    def start_balancer(self, name):
        file = self.settings(name, control=self.ips[name] + ":7001")
        self.start(name, "dogwoodpaddle-balancer", "--settings", file)

    def start_server(self, name, service, zone, ip, slots=4):
        self.ips[name] = ip
        self.zones[name] = zone
        self.services[name] = service
        file = self.settings(name, service=service)
        self.start(name, "dogwoodpaddle-companion", "--settings", file)
        arguments = f"--name {name} --listen {ip}:8000 --service {service}"
        arguments += f" --slots {slots} --companion {ip}:7002"
        self.start(name + "-server", "standin-backend", *arguments.split())

    def start_fabric(self, *options):
        arguments = []
        for name in self.balancers:
            arguments += ["--balancer", self.ips[name] + ":7000/7002"]
        arguments += ["--http", f"127.{self.net}.0.2:7002"]
        arguments += ["--udp", f"127.{self.net}.0.2:7000"]
        arguments += ["--map", self.jobs + "=10.77.0.1:80"]
        arguments += ["--map", self.reports + "=10.77.0.1:81"]
        arguments += ["--map", self.manuals + "=10.77.0.2:80"]
        self.start("fabric", "standin-fabric", *arguments, *options)

    def start_association(self, jobs=7, manuals=3):
        """Starts balancers, companions and servers and waits until all are members."""
        self.start_platform()
        self.put_fleet()
        for name in self.balancers:
            self.start_balancer(name)
        for service, count, first in [("darbnica", jobs, 10), ("rokasgramata", manuals, 20)]:
            for i in range(count):
                ip = f"127.{self.net}.{i % 3 + 2}.{first + i}"
                self.start_server(f"{service}-{i + 1}", service, ZONES[i % 3], ip)
        for name in self.balancers:
            wait_for(name + " is ready", lambda n=name: self.is_ready(n))
        wait_for("all servers are members", lambda: self.active() == jobs + manuals)

    def active(self):
        count = 0
        for service in FLEET["services"]:
            record = self.get("members/" + service) or {"value": {"members": []}}
            members = record["value"]["members"]
            count += sum(member["state"] == "active" for member in members)
        return count

    def is_ready(self, name):
        return http("GET", f"http://{self.ips[name]}:7002/ready")[0] == 200

    def status(self, name):
        return http("GET", f"http://{self.ips[name]}:7002/status")[1] or {}

    def metrics(self, name):
        """Returns the values of the process's metrics by name, labels included."""
        text = http("GET", f"http://{self.ips[name]}:7002/metrics")[1] or ""
        lines = [line for line in text.splitlines() if line and line[0] != "#"]
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines}
