#!/usr/bin/env python3
"""Sends bounded floods to the processes of a deployment on loopback addresses.

flood.py datagrams COUNT SEED IP:PORT...     malformed datagrams, COUNT to each address
flood.py syns RATE SECONDS DST:PORT IP:PORT...
                     SYNs of ever new clients for a service address, to the balancers in turn
flood.py connections SECONDS COUNT IP:PORT...
                     COUNT silent connections to each address beside ones that send garbage

Prints what was sent as one JSON line.
"""
import json
import random
import socket
import struct
import sys
import time

CATCH_UP_MAX_S = 0.01  # of the SYN flood, 20 SYNs at its rate
BATCH = 100
DATAGRAM_RATE = 30000  # a second, over all addresses


def checksum(data):
    total = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def tcp_packet(client, client_port, service, port, flags, payload=b""):
    """Returns an IPv4 packet with valid checksums."""
    src, dst = socket.inet_aton(client), socket.inet_aton(service)

    def tcp(check):
        return struct.pack("!HHIIBBHHH", client_port, port, 1, 0, 0x50, flags, 8192, check, 0)

    def ipv4(check):
        return struct.pack("!BBHHHBBH", 0x45, 0, 40 + len(payload), 1, 0, 64, 6, check) + src + dst

    padded = payload + b"\0" * (len(payload) % 2)
    pseudo = src + dst + struct.pack("!HH", 6, 20 + len(payload))
    return ipv4(checksum(ipv4(0))) + tcp(checksum(pseudo + tcp(0) + padded)) + payload


def data_header(rng):
    """Returns a data header with a random service and visited members."""
    visited = rng.randrange(40)
    head = b"\x9a\x01\xcf" + rng.randbytes(8) + b"\x01\xce\x7f\x00\x00\x01\xcd\x00\x09\x00\x00"
    head += b"\xdc" + struct.pack("!H", visited)
    return head + b"".join(b"\xce" + rng.randbytes(4) for _ in range(visited)) + b"\x00\x00"


def malformed_datagrams(rng):
    """Returns a pool of datagrams: random, truncated, oversized, with bits changed, foreign."""
    pool = [b"", b"\0", b"GET / HTTP/1.1\r\n\r\n", rng.randbytes(1501), rng.randbytes(60000)]
    for _ in range(400):
        client = f"198.51.100.{rng.randrange(256)}"
        packet = tcp_packet(client, 4000 + rng.randrange(1000), "10.77.0.9", 80,
                            rng.randrange(64), rng.randbytes(rng.randrange(300)))
        whole = rng.choice([b"", data_header(rng)]) + packet
        changed = bytearray(whole)
        changed[rng.randrange(len(changed))] ^= 1 << rng.randrange(8)
        pool += [rng.randbytes(rng.randrange(200)), whole[:rng.randrange(len(whole))],
                 whole + rng.randbytes(rng.randrange(2000)), bytes(changed), whole]
    return pool


def send_datagrams(count, seed, addresses):
    rng = random.Random(seed)
    pool = malformed_datagrams(rng)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    began = time.monotonic()
    sent = 0
    while sent < count * len(addresses):
        for _ in range(BATCH):
            sock.sendto(rng.choice(pool), addresses[sent % len(addresses)])
            sent += 1
        time.sleep(max(0.0, began + sent / DATAGRAM_RATE - time.monotonic()))
    return {"datagrams": sent}


def send_syns(rate, seconds, service, balancers):
    ip, port = service
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    began = time.monotonic()
    sent = 0
    while sent < rate * seconds:
        client = f"203.{sent >> 16 & 0xff}.{sent >> 8 & 0xff}.{sent & 0xff}"
        sock.sendto(tcp_packet(client, 5000, ip, port, 2), balancers[sent % len(balancers)])
        sent += 1
        due = began + sent / rate
        now = time.monotonic()
        # Without this limit, a generator that was not scheduled for a second would send
        # the second's SYNs in one burst, which is another load than the rate says.
        began += max(0.0, now - due - CATCH_UP_MAX_S)
        time.sleep(max(0.0, due - now))
    return {"syns": sent}


def garbage(rng):
    return rng.choice([
        rng.randbytes(rng.randrange(1, 2000)),
        b"\xff" * 100,
        b"\x00\x01\x00\x00" + rng.randbytes(65536),
        b"GET /" + b"a" * 100000 + b" HTTP/1.1\r\n\r\n",
        b"PUT /v1/server HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{\"port\":x",
        b"PUT /v1/server HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n" + b"{" * 5000,
        b"PUT /v1/server HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n" + b"[" * 5000,
    ])


def open_connections(seconds, count, addresses):
    rng = random.Random(1)
    silent = []
    sent = 0
    end = time.monotonic() + seconds
    for address in addresses:
        for _ in range(count):
            try:
                silent.append(socket.create_connection(address, timeout=0.3))
            except OSError:
                pass
    while time.monotonic() < end:
        for address in addresses:
            try:
                with socket.create_connection(address, timeout=1) as sock:
                    sock.settimeout(0.2)
                    sock.sendall(garbage(rng))
                    sent += 1
            except OSError:
                pass
        time.sleep(0.002)
    return {"silent": len(silent), "garbage": sent}


def address_of(text):
    ip, port = text.rsplit(":", 1)
    return ip, int(port)


def main():
    kind, first, second, *rest = sys.argv[1:]
    addresses = [address_of(text) for text in rest]
    if kind == "datagrams":
        result = send_datagrams(int(first), int(second), addresses)
    elif kind == "syns":
        result = send_syns(int(first), int(second), addresses[0], addresses[1:])
    else:
        result = open_connections(int(first), int(second), addresses)
    print(json.dumps(result))


main()
