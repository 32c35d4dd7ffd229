#!/usr/bin/env python3
"""After a rolling restart, a third of a large service's machines is lost at once; flows at the
others go on after a pause."""

import os
import random
import select
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import common as first_review  # noqa: E402
import common_2 as common  # noqa: E402
from common_2 import standins  # noqa: E402

N_SERVERS = 163  # of darbnica at the site lgkaa-serviss-large
N_LOST = 54
ROLL_SHARE, ROLL_AT_ONCE, ROLL_GAP_S = 0.45, 15, 1.3  # roll_term of that site
RESTART_S = 0.3
N_BALANCERS = 7
N_BALANCERS_LOST = 2
LAG_MAX_S = 1.0  # of the stand-ins after the loss, in all; a later run shows nothing
N_GROUPS = 4  # of flows, one after the other
N_FLOWS = 60  # of a group
GROUP_S = 3.0
PAUSE_S = 12.0  # of a flow between its two requests; idle_timeout_ms is 15000 in wire examples
STABLE_S = 6.0
ZONES = ["riga-a", "riga-b", "riga-c", "riga-d", "riga-e"]


class Loop:
    """One thread that serves the sockets of all servers, as that many threads would be late."""

    STEP_S = 0.02

    def __init__(self):
        self.poll = select.poll()
        self.servers = {}  # by file descriptor
        self.lags = []  # (time, length) of rounds that took long
        self.closed = False
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, server):
        self.servers[server.socket.fileno()] = server
        self.poll.register(server.socket.fileno(), select.POLLIN)

    def remove(self, server):
        self.poll.unregister(server.socket.fileno())
        del self.servers[server.socket.fileno()]

    def _run(self):
        looked_at = time.monotonic()
        while not self.closed:
            ready = self.poll.poll(self.STEP_S * 1000)
            now = time.monotonic()
            if now - looked_at > 5 * self.STEP_S:
                self.lags.append((now, now - looked_at))
            looked_at = now
            for fd, _ in ready:
                server = self.servers.get(fd)
                for _ in range(32 if server is not None and not server.stopping else 0):
                    try:
                        datagram = server.socket.recv(4096, standins.socket.MSG_DONTWAIT)
                    except OSError:
                        break
                    server._take(standins.Packet.unpack(datagram))
            now = time.monotonic()
            for server in list(self.servers.values()):
                if server.active and not server.stopping:
                    server.active = {key for key in server.active
                                     if server._go_on(key, server.flows[key], now)}


LOOP = Loop()


class Server(standins.Server):
    def _serve(self):
        LOOP.add(self)


class Site(first_review.Site):
    def close(self):
        for server in self.servers:  # all at once; their last calls take up to a second
            server.stopping = True
        LOOP.closed = True
        super().close()

    def settings(self, role, name, ip, zone, extra=None):
        settings = super().settings(role, name, ip, zone, extra)
        settings["bounds"] = dict(common.BOUNDS, stable_window_ms=6000, config_apply_ms=6000,
                                  ack_ms=10000, drain_ms=6000, catch_up_s=6, outer_ms=20000,
                                  recovery_s=15)
        settings["zones"] = {name: "lv-riga" for name in ZONES}
        return settings


    def add_servers(self, services):
        """Starts a node for each (service, zone), then the servers, whose starts the nodes see."""
        for number, (service, zone) in enumerate(services, 1):
            ip = f"{self.prefix}.2.{number}"
            settings = self.settings("companion", f"side-{service}-{number}", ip, zone,
                                     {"service": service, "app": f"{ip}:{standins.SERVER_PORT}"})
            settings["listen"]["outbound"] = f"{ip}:{standins.OUTBOUND_PORT}"
            settings["listen"]["control_plane"] = f"{ip}:{standins.ANNOUNCE_PORT}"
            self.companions.append(standins.Process(self.program, "companion", self.folder,
                                                    settings))
        time.sleep(1.0)
        for number, (service, zone) in enumerate(services, 1):
            self.servers.append(self.server_class(
                f"{self.prefix}.2.{number}", service, zone, f"i-{service}-{number}", slots=2,
                heartbeat_s=self.heartbeat_ms / 1000))


def roll(site, client, record):
    """Planned work: nodes beside servers get SIGTERM, some at a time, and start again."""
    def restart(process):
        process.stop(common.BOUNDS["grace_s"])
        time.sleep(RESTART_S)
        process.start()

    numbers = random.Random(5).sample(range(N_SERVERS), round(N_SERVERS * ROLL_SHARE))
    threads = []
    at = time.monotonic()
    for i in range(0, len(numbers), ROLL_AT_ONCE):
        for number in numbers[i:i + ROLL_AT_ONCE]:
            threads.append(threading.Thread(target=restart, args=(site.companions[number],)))
            threads[-1].start()
        client.run(at + (i // ROLL_AT_ONCE + 1) * ROLL_GAP_S)
    for thread in threads:
        thread.join(10)
    record.line(f"{len(numbers)} of {N_SERVERS} nodes beside servers of darbnica were restarted, "
                f"{ROLL_AT_ONCE} at a time, in {time.monotonic() - at:.1f} s", at)


def lose(site, numbers):
    """Machines with their servers lose power for good, all at once."""
    for i in numbers:
        site.companions[i].process.kill()
        site.servers[i].stopping = True
        site.servers[i].stopped_at = time.monotonic()
    for i in numbers:
        site.companions[i].process.wait()
        LOOP.remove(site.servers[i])
        site.servers[i].socket.close()


def unanswered(site, lost):
    return sum(companion.metric("dogwoodpaddle_searches_unanswered_total")
               for i, companion in enumerate(site.companions) if i not in lost)


def play(site, trouble, record):
    sys.setswitchinterval(0.001)
    site.version = 100
    site.server_class = Server
    site.configure(first_review.ROUTES)
    for i in range(N_BALANCERS):
        site.add_balancer(ZONES[i % 5])
    site.add_servers([("darbnica", ZONES[i % 5]) for i in range(N_SERVERS)]
                     + [("rokasgramata", "riga-a")])
    site.wait_ready(15)
    seen = sum("just started" in companion.log() for companion in site.companions)
    record.line(f"{seen} of {len(site.companions)} nodes have seen their server's start")
    client = first_review.Clients(site, standins.Router(site.balancers, True, random.Random(1)),
                                  random.Random(2))
    site.clients.append(client)
    client.run(time.monotonic() + STABLE_S)
    roll(site, client, record)
    client.run(time.monotonic() + STABLE_S)
    began = time.monotonic()
    for group in range(N_GROUPS):
        client.run(began + group * GROUP_S)
        for i in range(N_FLOWS):
            number = group * N_FLOWS + i
            client.start(first_review.REPORTS[:2], first_review.report(number, 0),
                         [(PAUSE_S, first_review.report(number, 1))])
            client.run(time.monotonic() + 0.02)
    client.run(began + (N_GROUPS - 1) * GROUP_S + 1.5)
    lost = set()
    lost_at = time.monotonic()
    if trouble:
        lost = set(random.Random(6).sample(range(N_SERVERS), N_LOST))
        lost_balancers = site.balancers[-N_BALANCERS_LOST:]
        for balancer in lost_balancers:
            balancer.process.kill()
        lose(site, sorted(lost))
        for balancer in lost_balancers:
            balancer.process.wait()
        record.line(f"{len(lost)} of {N_SERVERS} machines of darbnica, with their servers, and "
                    f"{N_BALANCERS_LOST} of {N_BALANCERS} balancers are lost for good", lost_at)
    client.run(began + (N_GROUPS - 1) * GROUP_S + PAUSE_S + 9.0)
    client.router.closed = True
    first_review.write_requests(record, site, [client])
    opened = [(key, server) for i, server in enumerate(site.servers) if i not in lost
              for key in server.opened]
    strayed = []
    for key, server in opened:
        at = first_review.strayed(site, key, lost_at)
        if at is None:
            continue
        strayed.append(key)
        own = [t for t in server.own[key] if t >= at]
        record.line(f"packets of {key}, open at {server.identity}, reach other servers from here "
                    f"on, and its own {own[0] - at if own else float('inf'):.3f} s later", at)
    answered = sum(client.flows[key[0][1]]["answers"] == 2 for key, _ in opened)
    late = sum(length for at, length in LOOP.lags if at > lost_at)
    record.line(f"after that the servers' stand-ins did not run for {late:.3f} s in all, in steps "
                f"of over {5 * LOOP.STEP_S} s")
    record.line(f"packets that companions forwarded again, as a member had not answered: "
                f"{unanswered(site, lost):.0f}")
    record.line(f"{len(opened)} flows were open at the other machines' servers, {answered} got "
                f"their second answer, {len(strayed)} strayed")
    if len(opened) < 20 or late > LAG_MAX_S:
        raise RuntimeError("too few flows were open, or the stand-ins were too late")
    # What is lost hasn't ended by itself.
    site.companions = [c for i, c in enumerate(site.companions) if i not in lost]
    site.balancers = [b for b in site.balancers if b.process.poll() is None or not lost]
    if not strayed:
        return []
    return [f"FLOW (b): packets of {len(strayed)} of {len(opened)} flows that are open at servers "
            f"of machines that were not lost reached other servers and for 2 s none their own"]


common.HEARTBEAT_MS = 770
common.main(FOLDER, play, Site)
