#!/usr/bin/env python3
"""Guards against faults of the soak that silently do nothing, or more than was asked for.

The cases play in a child that loads hosted/linkfaults.c and has sockets on three loopback
addresses of its own: faults hold from the first to the second one only. One case runs the
platform's program.
"""

import ctypes
import os
import select
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "hosted"))
import standins  # noqa: E402

LIBRARY = os.path.join(os.environ.get("DP_BINARY_DIR", "build"), "linkfaults.so")
N_DATAGRAMS = 200
WAIT_S = 1.0  # for what arrives late or must not arrive
CLOCK_SLACK_S = 0.5
LinkRule = standins.LinkRule
CUT = LinkRule(cut=1)
# name, rule, bounds of the number of datagrams that arrive, least delay of the last one;
# the other address gets all.
DATAGRAMS = [
    ("no rule", LinkRule(), (N_DATAGRAMS, N_DATAGRAMS), 0.0),
    ("cut", CUT, (0, 0), 0.0),
    ("loss of a half", LinkRule(loss=50), (60, 140), 0.0),
    ("delay", LinkRule(delay_ms=200), (N_DATAGRAMS, N_DATAGRAMS), 0.1),
    ("delay and loss", LinkRule(loss=50, delay_ms=200), (60, 140), 0.1),
]
CLOCKS = [("right", 0), ("ahead", 7200), ("behind", -3)]


def check(condition, text):
    if not condition:
        raise AssertionError(text)


class Header(ctypes.Structure):
    _fields_ = [("name", ctypes.c_char_p), ("name_length", ctypes.c_uint32),
                ("pieces", ctypes.c_void_p), ("n_pieces", ctypes.c_size_t),
                ("control", ctypes.c_void_p), ("control_length", ctypes.c_size_t),
                ("flags", ctypes.c_int)]


class Message(ctypes.Structure):
    _fields_ = [("header", Header), ("length", ctypes.c_uint)]


class Piece(ctypes.Structure):
    _fields_ = [("data", ctypes.c_char_p), ("length", ctypes.c_size_t)]


def send_datagrams(sender, addresses):
    """Sends one datagram to each address by one call of sendmmsg (), as the program does."""
    messages, pieces = (Message * len(addresses))(), (Piece * len(addresses))()
    for i, (ip, port) in enumerate(addresses):
        pieces[i] = Piece(b"%03d" % i, 3)
        name = (socket.AF_INET.to_bytes(2, sys.byteorder) + port.to_bytes(2, "big")
                + socket.inet_aton(ip) + bytes(8))
        messages[i].header = Header(name, len(name), ctypes.addressof(pieces[i]), 1)
    return ctypes.CDLL(None).sendmmsg(sender.fileno(), messages, len(messages), 0)


def udp_socket(ip):
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind((ip, 0))
    return receiver


def receive(receivers, seconds):
    """Returns the datagrams of each receiver with the times of their arrival."""
    began, found = time.monotonic(), [[] for _ in receivers]
    while (left := began + seconds - time.monotonic()) > 0:
        for ready in select.select(receivers, [], [], left)[0]:
            found[receivers.index(ready)].append((ready.recv(16), time.monotonic() - began))
    return found


def play_datagrams(faults, ips):
    sender, near, far = map(udp_socket, ips)
    for name, rule, counts, least_delay in DATAGRAMS:
        faults.begin(ips[1], rule)
        targets = [near.getsockname(), far.getsockname()] * N_DATAGRAMS
        for i in range(0, len(targets), 50):
            check(send_datagrams(sender, targets[i:i + 50]) == 50, f"{name}: not all sent")
        to_near, to_far = receive([near, far], WAIT_S)
        faults.end(ips[1], rule)
        last = max((at for _, at in to_near), default=0.0)
        check(counts[0] <= len(to_near) <= counts[1], f"{name}: {len(to_near)} arrived")
        check(last >= least_delay, f"{name}: the last one took {last:.3f} s")
        check(len(to_far) == N_DATAGRAMS, f"{name}: {len(to_far)} arrived elsewhere")


def open_connection(listener):
    client = socket.create_connection(listener.getsockname(), timeout=WAIT_S)
    server, _ = listener.accept()
    server.settimeout(WAIT_S)
    return client, server


def arrives(sender, receiver):
    try:
        sender.send(b"x")
        return receiver.recv(16) == b"x"
    except TimeoutError:
        return False


def play_connections(faults, ips):
    with socket.create_server((ips[1], 0)) as listener:
        client, server = open_connection(listener)
        check(server.getpeername()[0] == ips[0], "the connection has another source")
        for held, name in ((client, "one way"), (server, "the other way")):
            other = server if held is client else client
            faults.begin(held.getpeername()[0], CUT)
            check(not arrives(held, other), f"{name}: a byte passed the cut")
            check(arrives(other, held), f"{name}: the cut holds both ways")
            faults.end(held.getpeername()[0], CUT)
            check(arrives(held, other), f"{name}: the cut doesn't end")
        faults.begin(ips[1], CUT)
        try:
            socket.create_connection(listener.getsockname(), timeout=WAIT_S)
            check(False, "a connection opens over a cut link")
        except TimeoutError:
            faults.end(ips[1], CUT)
        play_silence(faults, ips)
        faults.reset(ips[1])
        try:
            server.recv(16)
            check(False, "the connection is closed, not reset")
        except ConnectionResetError:
            pass


def play_silence(faults, ips):
    with socket.create_server((ips[1], 0)) as listener:
        client, server = open_connection(listener)
        faults.silence(ips[1])
        check(not arrives(client, server), "a byte leaves a silent connection")
        check(not arrives(server, client), "a byte comes by a silent connection")
        new_client, new_server = open_connection(listener)
        check(arrives(new_client, new_server), "a new connection is silent, too")
        check(arrives(new_server, new_client), "a new connection is silent the other way")


def play_clocks(faults, _ips):
    for name, offset in CLOCKS:
        faults.set_clock(0)
        before, steady = time.time(), time.monotonic()
        faults.set_clock(offset)
        shown = time.time() - before - (time.monotonic() - steady)
        check(abs(shown - offset) < CLOCK_SLACK_S, f"{name}: {shown:.3f} s")


def play(path, ip):
    prefix = ip.rsplit(".", 1)[0]
    faults = standins.LinkFaults(LIBRARY, path, ip, new=False)
    for part in (play_datagrams, play_connections, play_clocks):
        part(faults, [ip, f"{prefix}.2", f"{prefix}.3"])


def run_program(folder):
    """A balancer's cut link stops its packets, a wrong clock shows in its log."""
    program = os.path.join(os.path.dirname(LIBRARY), "dogwoodpaddle-platform")
    site = standins.Site(program, folder, LIBRARY)
    try:
        route = ("198.18.0.1", 443, "darbnica", "non_idempotent")
        site.configure([route])
        balancer = site.add_balancer()
        companion, _ = site.add_server("darbnica")
        site.wait_ready()
        client = site.client()
        results = []
        for cut in (False, True, False):
            if cut:
                balancer.faults.begin(companion.settings["ip"], CUT)
            flow = client.start(route[:2], b"request-%d" % len(results))
            client.run(time.monotonic() + 2.0, [flow])
            results.append(flow["result"])
            if cut:
                balancer.faults.end(companion.settings["ip"], CUT)
        check(results == ["ok", "no answer", "ok"], f"requests: {results}")
        balancer.faults.set_clock(86400 * 365)
        balancer.stop()
        year = time.gmtime(time.time() + 86400 * 365).tm_year
        check(f'"time":"{year}-' in balancer.log(), "the log shows the right time")
    finally:
        site.close()


def main():
    if len(sys.argv) > 1:
        play(*sys.argv[1:])
        return 0
    with tempfile.TemporaryDirectory(prefix="linkfaults-") as folder:
        ip = f"127.{220 + os.getpid() % 30}.{os.getpid() // 30 % 250}.1"
        path = os.path.join(folder, "rules")
        faults = standins.LinkFaults(LIBRARY, path, ip)
        done = subprocess.run([sys.executable, __file__, path, ip], check=False, timeout=60,
                              env={**os.environ, **faults.environment})
        run_program(folder)
    print("passed" if done.returncode == 0 else "failed")
    return done.returncode


if __name__ == "__main__":
    sys.exit(main())
