"""The processes of a run: started, signalled and ended by their own ids, each with its folder."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "az": "",
    "kinds": ["k"],
    "discovery": "subscribe",
    "classes": [
        {"name": "admit", "aimUs": 120000, "deadlineUs": 5000000, "effect": "repeatable", "worth": 1.0}
    ],
    "limits": {"sendCap": 3, "retryAfter": True, "cancelling": True, "secondCopies": False},
    "safety": {
        "answerSlackUs": 8000,
        "coldFrom": 0.5,
        "coldUs": 1000000,
        "drainGraceUs": 500000,
        "overloadForUs": 2000000,
        "tipMultiple": 3.0,
    },
}


class Process:
    """One node."""

    def __init__(
        self,
        number: int,
        folder: Path,
        listen: str,
        shown: str,
        seeds: list[str],
        keys: Path,
        fleet: dict[str, int | float],
        data: bool,
        tree: Path | None = None,
    ) -> None:
        self.number, self.name, self.folder = number, f"n{number}", folder
        self.control = f"{listen}:8081"
        self.data = folder / "data"
        self.tree = tree  # the folder of another version of the program; None: this one
        self.clock = 0.0
        self.process: subprocess.Popen[bytes] | None = None
        self.stopped = False
        self.starved = 0.0
        folder.mkdir(parents=True)
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{listen}:8080",
                    "discovery": f"{listen}:9",
                    "settings": SETTINGS,
                }
            )
        )
        lines = [
            "[fleet]",
            f'name = "{folder.parent.name}"',
            f'listen = "{listen}:7946"',
            f'advertise = "{shown}:7946"',
            f'control = "{self.control}"',
            f"seeds = {json.dumps(seeds)}",
            f'keys = "{keys}"',
            *([f'data = "{self.data}"'] if data else []),
            *(f"{key} = {value}" for key, value in fleet.items()),
        ]
        (folder / "operator.toml").write_text("\n".join(lines) + "\n")

    @property
    def running(self) -> bool:
        """Tell whether it runs; one that is stopped by a signal does."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start it."""
        self.stopped = False
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "merlinbay"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=self.tree,
                env={
                    **os.environ,
                    "LB_CONFIG": str(self.folder / "config.json"),
                    "LB_OPERATOR": str(self.folder / "operator.toml"),
                    "MERLINBAY_CLOCK_OFFSET": str(self.clock),
                },
            )

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self.process is not None and self.running:
            self.process.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.stopped = number is signal.SIGSTOP

    def kill(self) -> None:
        """End it at once, and wait for that."""
        if self.process is not None and self.running:
            self.process.kill()
            self.process.wait()
        self.stopped, self.starved = False, 0.0

    def wipe(self) -> None:
        """Delete its folder that lasts: a lost disk."""
        shutil.rmtree(self.data, ignore_errors=True)
