"""FLOW (b): all processes are killed at once; later, one machine beside a server is lost."""

import os
import random
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import common  # noqa: E402
from common import standins  # noqa: E402

N_FLOWS = 100
PAUSE_S = 11.0  # of a flow, between its first and second request; idle_timeout_ms is 15000
RESTART_S = 0.5  # the platform starts a killed process again after this time
LOST = 2  # number of the machine that is lost


def play(site, record, trouble):
    site.configure(common.ROUTES)
    for i in range(4):
        site.add_balancer(common.ZONES[i % 3])
    for i in range(7):
        site.add_server("darbnica", common.ZONES[i % 3], slots=4)
    for i in range(3):
        site.add_server("rokasgramata", common.ZONES[i % 3], slots=4)
    site.wait_ready(8.0)
    client = common.Clients(site, standins.Router(site.balancers, True, random.Random(1)),
                            random.Random(2))
    site.clients.append(client)
    for number in range(N_FLOWS):
        client.start(common.REPORTS[:2], common.report(number, 0),
                     [(PAUSE_S, common.report(number, 1))])
        client.run(time.monotonic() + 0.02)
    client.run(time.monotonic() + 1)
    # TROUBLE=kill and TROUBLE=lose bring only one of the two disruptions.
    processes = site.balancers + site.companions
    if trouble and trouble != "lose":
        for process in processes:
            process.process.kill()
        for process in processes:
            process.process.wait()
        record.line("all processes are killed")
        client.run(time.monotonic() + RESTART_S)
        for process in processes:
            process.start()
        record.line("all processes run again")
    restarted = time.monotonic()
    client.run(restarted + common.STABLE_S + 0.5)
    if trouble and trouble != "kill":
        site.companions[LOST].kill()
        site.servers[LOST].stop()
        record.line(f"the machine of {site.servers[LOST].identity} is lost for good")
    client.run(restarted + 20)
    client.router.closed = True
    common.write_requests(record, site, [client])
    opened = [(key, server) for i, server in enumerate(site.servers) if i != LOST
              for key in server.opened]
    bad = []
    for key, server in opened:
        first = common.strayed(site, key, restarted + common.STABLE_S)
        flow = client.flows[key[0][1]]
        if first is not None:
            bad.append(key)
            record.line(f"packets of {key}, open at {server.identity}, reach other servers "
                        f"only from here on, {first - restarted:.1f} s after the restart; "
                        f"answers {flow['answers']}, {flow['result']}", first)
    answered = sum(client.flows[key[0][1]]["answers"] == 2 for key, _ in opened)
    print(f"{len(opened)} flows at the other servers, {answered} got both answers, "
          f"{len(bad)} strayed")
    if bad:
        return (f"packets of {len(bad)} of {len(opened)} flows, open at servers that live, "
                f"reached other servers only; {len(opened) - answered} second requests had no "
                "answer yet")
    return None


if __name__ == "__main__":
    common.run_case(os.path.dirname(os.path.abspath(__file__)), play)
