"""What the scripts of cases 6 to 10 share: a small deployment, its store and the record.

Clients, servers, routers' readiness calls and the platform are the project's stand-ins
(test/hosted/standins.py); the store is derived from them here. It sends no header that the
users' pages don't name, and keeps the operator's configuration as the text that was written.
"""

import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "test", "hosted"))
import standins  # noqa: E402

REPORTS = ("198.18.0.1", 443, "darbnica", "non_idempotent")
MANUALS = ("198.18.0.2", 443, "rokasgramata", "download")
ADDED = ("198.18.0.3", 443, "darbnica", "idempotent")
ZONES = ["riga-a", "riga-b", "riga-c"]
HEARTBEAT_MS = 770
SETTLE_S = 6.0  # longer than stable_window_ms, before anything is judged
CONFIG_APPLY_S = 3.0
# Figures of the small deployments in SYSTEM.md.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000,
          "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 3000, "rollback_slack_ms": 250, "outer_ms": 12000,
          "recovery_s": 12, "reorder_ms": 2000, "flow_ttl_s": 60}


class Store(standins.Store):
    """The store: the operator's configuration is returned as the text that was written."""

    first_revision = 4

    def __init__(self, ip):
        self.spec_text = None  # function that writes the operator's JSON, None: as usual
        super().__init__(ip)
        self.era_header = ""  # the pages name no such header
        self.revision = self.first_revision

    def encode(self, answer):
        """JSON text of an answer; spec_text writes the specs of config/main in it."""
        specs = []

        def replace(value):
            if isinstance(value, list):
                return [replace(item) for item in value]
            if not isinstance(value, dict):
                return value
            if value.get("meta", {}).get("name") == "main" and "spec" in value:
                specs.append(value["spec"])
                return {**value, "spec": f"spec-{len(specs) - 1}"}
            return {key: replace(item) for key, item in value.items()}

        text = json.dumps(replace(answer))
        for number, spec in enumerate(specs):
            written = (self.spec_text or json.dumps)(spec)
            text = text.replace(f'"spec-{number}"', written, 1)
        return text

    def handle(self, request, method):
        length = int(request.headers.get("Content-Length", 0))
        body = json.loads(request.rfile.read(length)) if length else None
        path, _, query = request.path.partition("?")
        arguments = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.strip("/").split("/")[1:]
        with self.changed:
            if method == "GET" and "watch" in arguments:
                status, answer = self._watch(parts[0], arguments)
            elif method == "GET" and len(parts) == 1:
                items = [o for (kind, name), o in sorted(self.objects.items())
                         if kind == parts[0] and name > arguments.get("after", "")]
                status, answer = 200, {"items": items, "has_more": False,
                                       "as_of": self.revision}
            elif method == "GET":
                found = self.objects.get((parts[0], parts[1]))
                status, answer = (200, found) if found else (404, {"error": "none"})
            else:
                status, answer = self._change(method, parts, body, arguments)
            text = self.encode(answer).encode()
        try:
            request.send_response(status)
            request.send_header("Content-Type", "application/json")
            request.send_header("Content-Length", str(len(text)))
            request.end_headers()
            request.wfile.write(text)
        except OSError:
            request.close_connection = True  # the caller has gone


class Site(standins.Site):
    """A deployment whose processes are started with the commands of the deploy file."""

    def settings(self, role, name, ip, zone, extra=None):
        settings = super().settings(role, name, ip, zone, extra)
        settings["bounds"] = dict(BOUNDS)
        settings["zones"] = {zone: "lv-riga" for zone in ZONES}
        return settings


class Record:
    """Lines of record.txt, with the time since the script's start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text, at=None):
        at = time.monotonic() if at is None else at
        print(f"{at - self.began:8.3f} {text}", file=self.file, flush=True)


def deployed_program():
    """The program of the deploy file's commands; both roles have the same one."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    programs = {role["run"].split()[0] for role in roles.values()}
    commands = {role["run"].split()[1] for role in roles.values()}
    if len(programs) != 1 or commands != {"balancer", "companion"}:
        raise RuntimeError("the deploy file's commands are not as expected")
    program = os.path.join(ROOT, programs.pop())
    if not os.access(program, os.X_OK):
        raise RuntimeError("the build of the deploy file is missing")
    return program


def start(site, n_balancers=3, n_servers=3, **options):
    for i in range(n_balancers):
        site.add_balancer(ZONES[i % 3])
    for i in range(n_servers):
        site.add_server("darbnica", ZONES[i % 3], slots=4, **options)
    site.add_server("rokasgramata", "riga-a", slots=4, **options)


def ask(client, route, n, tag, spacing=0.05):
    """Sends n requests, each on a flow of its own, and waits for their results."""
    flows = []
    for i in range(n):
        flows.append(client.start(route[:2], f"{tag}-{i}".encode()))
        client.run(time.monotonic() + spacing)
    client.run(time.monotonic() + standins.ATTEMPT_S + 1.0, flows)
    return flows


def write_flows(record, site, flows):
    """What the clients sent, what they were answered, and which server ran it."""
    runs = {key: (server.identity, at) for server in site.servers
            for key, _, at in server.runs}
    for flow in flows:
        key = flow["key"]
        ran = (f"run by {runs[key][0]} at {runs[key][1] - record.began:.3f}"
               if key in runs else "run by none")
        record.line(f"sent {flow['request'].decode().strip()} to {key[1][0]}:{key[1][1]}, "
                    f"answered: {flow['result'] or 'nothing'}, {ran}", flow["started"])


def write_logs(record, site, words, limit=6):
    """The first log lines of the processes that have one of the words."""
    for process in site.balancers + site.companions:
        lines = [line for line in process.log().splitlines()
                 if any(word in line for word in words)]
        for line in lines[:limit]:
            record.line(f"log of {process.name}: {line[:300]}")


def restart(process, record, tries=3):
    """Stops a process and starts it again, as the platform does; returns whether it runs.

    A process that ends is started again after a short delay, up to the number of tries.
    """
    record.line(f"SIGTERM to {process.name}")
    record.line(f"{process.name} has ended with status {process.stop(BOUNDS['grace_s'])}")
    for _ in range(tries):
        process.start()
        time.sleep(0.7)
        if process.process.poll() is None:
            record.line(f"{process.name} runs again")
            return True
        text = process.log().strip().splitlines()[-1]
        record.line(f"{process.name} has ended by itself with status "
                    f"{process.process.returncode}: {text[:200]}")
    return False


def play_settings(site, trouble, record, change):
    """Rule Fault: a program doesn't start. change (settings, trouble) edits the settings."""
    site.version = 100
    site.configure([REPORTS, MANUALS])
    start(site)
    site.wait_ready(10)
    client = site.client()
    client.run(time.monotonic() + SETTLE_S)
    before = ask(client, REPORTS, 20, "before")
    if any(flow["result"] != "ok" for flow in before):
        write_flows(record, site, before)
        raise RuntimeError("requests failed before the change")
    processes = site.balancers + site.companions
    for process in processes:
        change(process.settings, trouble)
        with open(process.path, "w", encoding="utf-8") as file:
            json.dump(process.settings, file)
        process.process.send_signal(signal.SIGHUP)
    record.line("all settings files change, and all processes get SIGHUP; those of "
                f"{processes[0].name}: {json.dumps(processes[0].settings)}")
    client.run(time.monotonic() + 1.0)
    # Planned work: one machine after the other.
    failed = []
    for process in processes:
        if not restart(process, record):
            failed.append(process)
    client.run(time.monotonic() + SETTLE_S)
    after = ask(client, REPORTS, 30, "after")
    write_flows(record, site, before + after)
    served = sum(flow["result"] == "ok" for flow in after)
    record.line(f"{served} of {len(after)} requests were served after the restarts")
    return [f"Fault: {process.name} does not start" for process in failed]


def main(folder, play, site_class=Site, store_class=Store):
    """Runs play (site, trouble, record), which returns the texts of what broke the rule.

    Exits with 0 if there are none, 1 otherwise, and 2 if the case could not run.
    """
    random.seed(6)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended as well
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"TROUBLE={int(trouble)}")
    standins.Store = store_class
    temporary = tempfile.mkdtemp(prefix="review-")
    site = None
    status = 2
    try:
        site = site_class(deployed_program(), temporary, heartbeat_ms=HEARTBEAT_MS)
        broken = play(site, trouble, record)
        ended = [p.name for p in site.balancers + site.companions
                 if p.process.poll() is not None]
        for text in broken:
            record.line(f"RULE BROKEN: {text}")
        record.line(f"processes that ended by themselves: {ended or 'none'}")
        status = 1 if broken else 0
    except Exception as error:  # pylint: disable=broad-except
        record.line(f"could not run: {error!r}")
    finally:
        if site is not None:
            site.close()
        shutil.rmtree(temporary, ignore_errors=True)
        record.line(f"exit status {status}")
    sys.exit(status)
