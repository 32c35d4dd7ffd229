"""A small deployment of the system as processes, for the cases of the review.

The processes are started as deploy/system.toml says. Store, servers and clients are the
project's own stand-ins (test/hosted/standins.py); settings and times are those of the site
lgkaa-serviss, with fewer machines.
"""

import os
import random
import shutil
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "test", "hosted"))
import standins  # noqa: E402

PROGRAM = "target/dogwoodpaddle-platform"  # the word `run` of both roles begins with this
ZONES = ["riga-a", "riga-b", "riga-c"]
SHEETS = ("198.18.0.1", 443, "darbnica", "idempotent")
REPORTS = ("198.18.0.1", 8443, "darbnica", "non_idempotent")
MANUALS = ("198.18.0.2", 443, "rokasgramata", "download")
ROUTES = [SHEETS, REPORTS, MANUALS]
SLO_MS = {"idempotent": 150, "non_idempotent": 200, "download": 500}
TIMEOUT_MS = {"idempotent": 2500, "non_idempotent": 3000, "download": 8000}
HEARTBEAT_MS = 770
REPORT_BYTES = 4800  # four packets; site lgkaa-serviss: up to 5400 bytes
DRAIN_S = 3.0
STABLE_S = 4.0
REORDER_S = 2.0
CONFIG_APPLY_S = 3.0
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000,
          "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 3000, "rollback_slack_ms": 250, "outer_ms": 12000,
          "recovery_s": 12, "reorder_ms": 2000, "flow_ttl_s": 60}


class Site(standins.Site):
    def settings(self, role, name, ip, zone, extra=None):
        settings = super().settings(role, name, ip, zone, extra)
        settings["bounds"] = BOUNDS
        settings["flow_hash"] = "mod"
        settings["deployment_mode"] = "agent"
        return settings

    def add_server(self, service, zone="riga-a", number=None, **options):
        """Starts a server and, a little later, the node beside it.

        The server's first heartbeat finds nobody ("All machines start within 0.3 s of each
        other, in any order", DEPLOY.md), so the node has not seen the server's start.
        """
        number = number or len(self.companions) + 1
        return self.add_at(service, zone, f"2.{number}", **options)

    def add_at(self, service, zone, number, **options):
        """Adds a server and its node at the address PREFIX.number."""
        ip = f"{self.prefix}.{number}"
        settings = self.settings("companion", f"side-{service}-{number}", ip, zone,
                                 {"service": service, "app": f"{ip}:{standins.SERVER_PORT}"})
        settings["listen"]["outbound"] = f"{ip}:{standins.OUTBOUND_PORT}"
        settings["listen"]["control_plane"] = f"{ip}:{standins.ANNOUNCE_PORT}"
        server = self.server_class(ip, service, zone, f"i-{service}-{number}",
                                   heartbeat_s=self.heartbeat_ms / 1000, **options)
        time.sleep(0.05)
        companion = standins.Process(self.program, "companion", self.folder, settings,
                                     self.faults_library)
        self.companions.append(companion)
        self.servers.append(server)
        return companion, server

    def configuration(self, routes):
        configuration = super().configuration(routes)
        for route in configuration["routes"]:
            route["slo_ms"] = SLO_MS[route["kind"]]
            route["timeout_ms"] = TIMEOUT_MS[route["kind"]]
        configuration["limits"] = {"idle_timeout_ms": 15000}
        return configuration


class Clients(standins.RoutedClients):
    """Clients whose requests take several packets, all in flight at once."""

    def _send_request(self, flow, now):
        flow["sent_at"] = now
        request, seq = flow["request"], flow["seq"] + 1 + flow["offset"]
        flow["unacknowledged"] = 0
        flow["last_ack"] = flow["peer"] + 1 + flow["got"]
        for i in range(0, len(request), standins.DATA_MAX):
            self._send(flow, standins.ACK, seq + i, flow["last_ack"],
                       request[i:i + standins.DATA_MAX])

    def _go_on(self, flow, now):
        """Sends the request again also if only a part of it was acknowledged."""
        part = flow["offset"] < flow["acked"] < flow["offset"] + len(flow["request"])
        if (part and flow["next_at"] is None and not flow["text"]
                and now - flow["sent_at"] > flow["interval"]):
            flow["interval"] = min(2 * flow["interval"], standins.RETRANSMIT_MAX_S)
            self._send_request(flow, now)
        super()._go_on(flow, now)


def report(number, i):
    return b"+report-%d-%d" % (number, i) + b"." * (REPORT_BYTES - 20)


def strayed(site, key, since):
    """Returns the time at which the flow's packets began to reach other servers and, for
    reorder_ms, none its own; None if they never did."""
    own = [t for server in site.servers for t in server.own.get(key, [])]
    strays = sorted({(sent, total): at for server in site.servers
                     for at, sent, total in server.strays.get(key, [])}.values())
    for i, first in enumerate(strays):
        window = [t for t in strays[i:] if t <= first + REORDER_S]
        if first >= since and len(window) >= 3 and not any(
                first <= t <= first + REORDER_S for t in own):
            return first
    return None


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.began:8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


def write_requests(record, site, clients):
    """Lists each client's requests with their results, and each server's runs."""
    for client in clients:
        for flow in client.flows.values():
            record.line(f"sent {flow['key']} {flow['request'][:40]!r}: {flow['result']}, "
                        f"{flow['answers']} answers", flow["started"])
    for server in site.servers:
        for key, request, at in server.runs:
            record.line(f"run by {server.identity} {key} {request[:40]!r}", at)


def run_case(folder, play):
    """Calls play(site, record, trouble), which returns a text if the rule was broken, else None.

    trouble is run.sh's TROUBLE, the first argument of the program; empty for 0.
    Exits with 1 if it was broken, 0 if it held, 2 if the case couldn't run.
    """
    os.chdir(ROOT)
    random.seed(int(os.environ.get("SEED", "1")))
    trouble = sys.argv[1] if len(sys.argv) > 1 else "1"
    trouble = "" if trouble == "0" else trouble
    record = Record(folder)
    record.line(f"trouble: {trouble or 'none'}")
    work = tempfile.mkdtemp(prefix="review-")
    site = None
    status = 2
    try:
        site = Site(PROGRAM, work, heartbeat_ms=HEARTBEAT_MS)
        broken = play(site, record, trouble)
        verdict = f"BROKEN: {broken}" if broken else "the rule held"
        record.line(verdict)
        print(verdict)
        status = 1 if broken else 0
    except Exception:  # the case couldn't run
        traceback.print_exc()
        record.line("the case could not run: " + traceback.format_exc())
    finally:
        if site is not None:
            site.close()
        record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    sys.exit(status)
