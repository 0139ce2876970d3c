"""The key of a run's fleet: one file that all processes of the run read."""

from __future__ import annotations

import base64
import os
from pathlib import Path
from random import Random

from merlinbay.scale.roles import RunFacts

KEY_FILE = "keys"


def write_keys(run: RunFacts) -> Path:
    """Write the fleet's key, which is drawn by the run's seed, unless it is there; return the file."""
    path = run.folder / KEY_FILE
    if not path.exists():
        fresh = path.with_suffix(f".{os.getpid()}")  # several processes may come to write it at once
        fresh.write_text(base64.b64encode(Random(run.seed).randbytes(32)).decode() + "\n")
        fresh.replace(path)
    return path
