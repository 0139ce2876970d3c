"""A node as a process of its own, from this tree or another, and what the kernel says it used."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from merlinbay.cli import local

ROOT = Path(__file__).parent.parent
TICK = os.sysconf("SC_CLK_TCK")
SETTINGS: dict[str, Any] = {
    **local.SETTINGS,
    "az": "z",
    "kinds": ["k"],
    "classes": [
        {
            "name": "batch",
            "aimUs": 2_000_000,
            "deadlineUs": 60_000_000,
            "worth": 1.0,
            "effect": "by_key",
            "group": "cell",
            "windowUs": 7_500_000,
        }
    ],
}
PLAIN = "[drmaa]\nfront = true\naccess.open = true\nservers = true\n"


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class StandIns:
    """Schedulers and a discovery, in a process of their own."""

    def __init__(self, number: int, mode: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-B", "-m", "bench.standin", str(number), mode],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.discovery = self.process.stdout.readline().strip()

    def __enter__(self) -> StandIns:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()


class Node:
    """A node from a tree."""

    def __init__(
        self, tree: Path, folder: Path, discovery: str, operator: str = PLAIN, sockets: int = 1024
    ) -> None:
        self.port = free_port()
        (folder / "operator.toml").write_text(operator)
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "bench",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": discovery,
                    "seed": "1",
                    "settings": SETTINGS,
                    "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": sockets},
                }
            )
        )
        environ = {
            **os.environ,
            "LB_CONFIG": str(folder / "config.json"),
            "OPENBLAS_NUM_THREADS": "1",
            "LB_OPERATOR": str(folder / "operator.toml") if operator else "",
        }
        self.process = subprocess.Popen(
            [sys.executable, "-B", "-m", "merlinbay"], cwd=tree, env=environ, stderr=subprocess.DEVNULL
        )
        for _ in range(2000):
            try:
                with urllib.request.urlopen(f"http://127.0.0.1:{self.port}/-/ready"):
                    return
            except (urllib.error.URLError, OSError):
                time.sleep(0.005)
        raise RuntimeError("the node does not get ready")

    def __enter__(self) -> Node:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()

    def cpu_s(self) -> float:
        """Return the processor time that it has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    def rss_mb(self) -> float:
        """Return its resident memory, in MB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        raise RuntimeError("no VmRSS")
