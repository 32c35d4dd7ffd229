#!/usr/bin/env python3
"""The settings files change, and the machines are then stopped and started in turn."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import common_2 as common  # noqa: E402

UNLIMITED = 2**64 - 1


def change(settings, trouble):
    """A new field has come among the limits of the process."""
    settings["limits"] = {**settings.get("limits", {}),
                          "file_bytes": UNLIMITED if trouble else 1 << 30}


common.main(FOLDER, lambda site, trouble, record:
            common.play_settings(site, trouble, record, change))
