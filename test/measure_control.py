#!/usr/bin/env python3
"""Control traffic and platform calls of the Association's deployment, and the time until a
settings change is in force everywhere. Argument: seconds of each traffic phase (20)."""

import json
import statistics
import sys
import threading
import time

from measure_deployment import FLEET, Deployment, http, wait_for

BYTES_BOUND = 2048  # a second, of one process
READS_BOUND = 200  # a second when idle: a tenth of two thousand
WRITES_BOUND = 30  # likewise of several hundred, taken as 300
IN_FORCE_BOUND_S = 5
CHANGES = 10
CHANGE_INTERVAL_S = 1
LATER_INTERVAL_S = 11  # 7,800 changes a day
LATER_CHANGES = 3
SLOW_MS = 1000
SENT = "dogwoodpaddle_control_sent_bytes_total"
RECEIVED = "dogwoodpaddle_control_received_bytes_total"
WRITE_ATTEMPTS = 20


def processes(d):
    return d.balancers + list(d.services)


def change_settings(d, wait_limit_ms):
    """Writes the defaults and returns the accepted revision."""
    for _ in range(WRITE_ATTEMPTS):
        version = d.get("fleet/defaults")["version"]
        value = dict(FLEET["defaults"], wait_limit_ms=wait_limit_ms)
        url = d.platform + "/v1/objects/fleet/defaults"
        status, body = http("PUT", url, value, version)
        if status == 200:
            return body["version"]
    raise AssertionError("the settings were not accepted")


def set_held(d, held):
    """Drains a member or takes it back, as an operator does."""
    for _ in range(WRITE_ATTEMPTS):
        record = d.get("members/darbnica")
        for member in record["value"]["members"]:
            if member["name"] == "darbnica-7":
                member["state"] = "leaving" if held else "active"
                member["held"] = held
        url = d.platform + "/v1/objects/members/darbnica"
        if http("PUT", url, record["value"], record["version"])[0] == 200:
            return
    raise AssertionError("the member was not changed")


def change_members(d, end):
    """Drains a member and takes it back until the time is over."""
    held = True
    while time.monotonic() < end:
        set_held(d, held)
        held = not held
        time.sleep(CHANGE_INTERVAL_S)


def change_often(d, end):
    value = 2000
    while time.monotonic() < end:
        value += 1
        change_settings(d, value)
        time.sleep(CHANGE_INTERVAL_S)


def change_at_later_rate(d, end):
    """One change every 11 s, as many as at the later size: drain, settings, take back."""
    for i in range(LATER_CHANGES):
        if i == 1:
            change_settings(d, 2500)
        else:
            set_held(d, i == 0)
        time.sleep(LATER_INTERVAL_S)


def traffic(d, phase, seconds, action=None):
    names = processes(d)
    before = {name: d.metrics(name) for name in names}
    calls = d.calls()
    began = time.monotonic()
    if action is None:
        time.sleep(seconds)
    else:
        action(d, began + seconds)
    took = time.monotonic() - began
    calls_after = d.calls()
    line = {"figure": "control_traffic", "phase": phase, "seconds": round(took, 1)}
    worst = 0
    for role, group in [("balancer", d.balancers), ("companion", list(d.services))]:
        for word, key in [("sent", SENT), ("received", RECEIVED)]:
            rates = []
            for name in group:
                rates.append((d.metrics(name)[key] - before[name][key]) / took)
            line[f"{role}_{word}_bytes_per_s_max"] = round(max(rates))
            line[f"{role}_{word}_bytes_per_s_mean"] = round(statistics.mean(rates))
            worst = max(worst, max(rates))
    for kind, value in calls_after.items():
        line[f"platform_{kind}_per_s"] = round((value - calls[kind]) / took, 2)
    line["bound_bytes_per_s"] = BYTES_BOUND
    line["reached"] = worst <= BYTES_BOUND
    if action is None:
        reads = line["platform_reads_per_s"] + line["platform_watches_per_s"]
        # A pending watch counts as a read: the two roots of each zone hold one.
        line["bound_reads_per_s"] = READS_BOUND
        line["bound_writes_per_s"] = WRITES_BOUND
        line["reached"] = (
            line["reached"]
            and reads <= READS_BOUND
            and line["platform_writes_per_s"] <= WRITES_BOUND
        )
    print(json.dumps(line), flush=True)


def in_force_s(d, revision, began, names):
    """Waits until all processes report the revision; returns seconds by process."""
    times = {}
    end = began + 60
    while len(times) < len(names) and time.monotonic() < end:
        for name in names:
            if name not in times and d.status(name).get("revision", 0) >= revision:
                times[name] = time.monotonic() - began
        time.sleep(0.005)
    assert len(times) == len(names), f"not in force: {set(names) - set(times)}"
    return max(times.values())


def change_and_wait(d, value, names):
    """Returns seconds from the call and from the platform's acceptance."""
    called = time.monotonic()
    revision = change_settings(d, value)
    accepted = time.monotonic()
    took = in_force_s(d, revision, accepted, names)
    return accepted - called, took


def print_in_force(case, times, accept):
    line = {
        "figure": "settings_in_force",
        "case": case,
        "processes": 13,
        "changes": len(times),
        "median_s": round(statistics.median(times), 3),
        "max_s": round(max(times), 3),
        "accepted_after_s_max": round(max(accept), 3),
        "bound_s": IN_FORCE_BOUND_S,
        "reached": max(times) <= IN_FORCE_BOUND_S,
    }
    print(json.dumps(line), flush=True)


def measure_normal(d, case):
    results = [change_and_wait(d, 3000 + i, processes(d)) for i in range(CHANGES)]
    print_in_force(case, [r[1] for r in results], [r[0] for r in results])


def set_delay(d, delay_ms):
    status, _ = http("PUT", d.platform + "/v1/faults", {"delay_ms": delay_ms})
    assert status == 200


def measure_restarting(d):
    """The platform answers after 1 s and a balancer is killed and started again as the
    change is accepted. It counts from the acceptance until also the new process is ready
    and has the change in force."""
    times = []
    accept = []
    for i, name in enumerate(d.balancers):
        d.kill(name)
        restart = threading.Timer(0.2, d.start_balancer, [name])
        called = time.monotonic()
        restart.start()
        revision = change_settings(d, 4000 + i)
        accepted = time.monotonic()
        restart.join()
        times.append(in_force_s(d, revision, accepted, processes(d)))
        accept.append(accepted - called)
        wait_for("the balancer is ready", lambda n=name: d.is_ready(n))
    print_in_force("platform slow (1 s), one balancer restarting", times, accept)


def measure_killed_after(d):
    """As above, but the balancer is killed at the acceptance."""
    times = []
    accept = []
    for i, name in enumerate(d.balancers):
        called = time.monotonic()
        revision = change_settings(d, 5000 + i)
        accepted = time.monotonic()
        d.kill(name)
        d.start_balancer(name)
        times.append(in_force_s(d, revision, accepted, processes(d)))
        accept.append(accepted - called)
        wait_for("the balancer is ready", lambda n=name: d.is_ready(n))
    print_in_force("platform slow (1 s), balancer killed at acceptance", times, accept)


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    with Deployment() as d:
        d.start_association()
        time.sleep(3)
        traffic(d, "idle", seconds)
        traffic(d, "configuration change every second", seconds, change_often)
        traffic(d, "member change every second", seconds, change_members)
        traffic(d, "change every 11 s (later size)", 0, change_at_later_rate)
        wait_for("all servers are members", lambda: d.active() == 10)
        measure_normal(d, "normal")
        set_delay(d, SLOW_MS)
        measure_normal(d, "platform slow (1 s)")
        measure_restarting(d)
        measure_killed_after(d)
        set_delay(d, 0)


main()
