"""Judges from what callers and servers saw whether a configuration was in force (rule CONFIG).

A request is sent to one balancer, and is judged by the SYN that its server took. A balancer that
has the route, but knows no member that takes new flows, resets the SYN as well; its log tells this
from a missing route.
"""

import bisect
import collections
import json

APPLY_S = 3.0  # config_apply_ms
ROLLBACK_S = 0.25  # rollback_slack_ms
SLOWED = 8  # times as long on a machine that was disturbed

# service: that ran the request, None: the balancer reset it. sent: the SYN; until: the outcome.
Request = collections.namedtuple("Request", "balancer route service sent until text")


def resets_without_member(site):
    """(balancer's address, client's address) of the SYNs that found a route, but no member."""
    found = set()
    for balancer in site.balancers:
        for line in balancer.log().splitlines():
            # A process that is killed may leave half of a line.
            if '"reason":"no_member"' in line and line.endswith("}"):
                found.add((balancer.settings["ip"], json.loads(line)["client"]))
    return found


def requests_of(site, flows):
    """The requests that had an outcome, in the order of sending."""
    without_member = resets_without_member(site)
    servers = {key: server for server in site.servers for key, _, _ in server.runs}
    names = {b.settings["ip"]: b for b in site.balancers}
    found = []
    for flow in flows:
        key, balancer, service = flow["key"], names[flow["balancer"]], None
        sent, until = flow["started"], None
        if key in servers:
            service, sent = servers[key].service, servers[key].syn_sent[key]
            until = servers[key].opened[key]
        elif (flow["result"] == "reset" and flow["resets"][-1][4] == flow["balancer"]
              and (flow["balancer"], "%s:%d" % key[0]) not in without_member):
            until = flow["resets"][-1][0]  # a member's reset says nothing of routes
        if until is not None:
            found.append(Request(balancer, key[1], service, sent, until,
                                 flow["request"].decode().strip()))
    return sorted(found, key=lambda request: request.sent)


class Judge:
    def __init__(self, versions):
        self.versions = versions

    def handled_by(self, request):
        """Indices of the versions that allow what happened to the request."""
        return [i for i, version in enumerate(self.versions)
                if version.written_at <= request.until
                and version.routes.get(request.route) == request.service]

    def due(self, at):
        """Index of the last version that has to be in force at a time, -1: none."""
        acknowledged = [version.acknowledged_at for version in self.versions]
        return bisect.bisect_left(acknowledged, at - APPLY_S) - 1

    def check_late(self, request):
        """Returns what is wrong if only versions older than the one due allow the outcome."""
        due, handled = self.due(request.sent), self.handled_by(request)
        if not handled or handled[-1] >= due:
            return None
        version = self.versions[due]
        return (f"handled by version {self.versions[handled[-1]].number} or older; version "
                f"{version.number} was acknowledged {request.sent - version.acknowledged_at:.3f}"
                " s before")

    def check_all(self, requests, in_touch=lambda request: True):
        """Returns a text for each request that breaks the rule."""
        faults = []
        seen = {}  # process and incarnation to the effects: (time, index of the version)
        for request in requests:
            name, late = request.balancer.name, self.check_late(request)
            if late and in_touch(request):
                faults.append(f"CONFIG: {name}, {request.text}, {request.route}, "
                              f"{request.service or 'reset'}: {late}")
            incarnation = (name, self.incarnation(request.balancer, request.sent))
            if incarnation[1] != self.incarnation(request.balancer, request.until):
                continue
            handled = self.handled_by(request)
            slack = ROLLBACK_S * (1 if in_touch(request) else SLOWED)
            newest = max((i for at, i in seen.get(incarnation, ())
                          if at + slack < request.sent), default=-1)
            if handled and handled[-1] < newest:
                faults.append(f"CONFIG: {name}, {request.text}, {request.route}: handled by "
                              f"version {self.versions[handled[-1]].number} after an effect of "
                              f"version {self.versions[newest].number}")
            if handled and request.service:
                seen.setdefault(incarnation, []).append((request.until, handled[0]))
        return faults

    @staticmethod
    def incarnation(process, at):
        return bisect.bisect_right(process.started_at, at)
