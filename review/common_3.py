"""What the scripts of the third review share: a small deployment of stand-ins, the record of a
run, and its end.

The stand-ins are the project's own (test/hosted/standins.py); the programs are started with the
commands of deploy/system.toml, from the root of the repository, on loopback addresses.
"""

import os
import pathlib
import shutil
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test" / "hosted"))
import standins  # noqa: E402

PROGRAM = "target/dogwoodpaddle-platform"  # of the deploy file, which also names the roles
HEARTBEAT_MS = 770
BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt in the folder of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def note(self, text, at=None):
        at = time.monotonic() if at is None else at
        print(f"{at - self.began:8.3f} s  {text}", file=self.file, flush=True)


def play(folder, case):
    """Runs case (site, record) on an empty site and exits with its result."""
    os.chdir(ROOT)
    record = Record(folder)
    record.note(f"TROUBLE={1 if TROUBLE else 0}")
    temporary = tempfile.mkdtemp()
    site, result = None, NOT_RUN
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise RuntimeError(f"{PROGRAM} is missing: run the build of the deploy file")
        site = standins.Site(PROGRAM, temporary, heartbeat_ms=HEARTBEAT_MS)
        # Pages that are in force name no era.
        site.store.era_header = ""
        result = case(site, record)
    except Exception:  # the case could not run
        record.note("the case could not run\n" + traceback.format_exc())
    finally:
        if site is not None:
            site.close()
        shutil.rmtree(temporary, ignore_errors=True)
    record.note({BROKEN: "the rule was broken", HELD: "the rule held",
                 NOT_RUN: "no result"}[result])
    sys.exit(result)
