"""A configuration drops a route. Its version is the time in microseconds; with TROUBLE=0 it is
the one before plus a small number."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import common_3  # noqa: E402
import dropped_route_3  # noqa: E402

LAST_VERSION = int(time.time() * 1e6) if common_3.TROUBLE else dropped_route_3.SECOND_VERSION + 31
common_3.play(os.path.dirname(os.path.abspath(__file__)),
              lambda site, record: dropped_route_3.play(site, record, LAST_VERSION))
