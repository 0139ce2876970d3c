"""Broken endpoints, each of which the conformance suite has to find: ``python -m bench.mutants``.

A small proxy stands before a sound front and breaks one thing each; every mutant has a port of its own, and
all are played at once against one ``merlinbay local``.
"""

from __future__ import annotations

import itertools
import json
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import httpx

from merlinbay.client.transport import Door
from merlinbay.conformance import report
from merlinbay.conformance.clauses import CLAUSES
from merlinbay.conformance.probe import ConformanceProbe

Before = Callable[[str, str, Any], "tuple[str, str, Any] | None"]  # None: not passed on, but answered 200
After = Callable[[str, str, int, Any], "tuple[int, Any]"]


@dataclass
class Mutant:
    """One broken endpoint, and the clause that has to find it."""

    name: str
    clause: str
    before: Before = lambda method, path, body: (method, path, body)
    after: After = lambda method, path, status, body: (status, body)


def without(*names: str) -> Before:
    """Drop attributes of templates."""

    def change(method: str, path: str, body: Any) -> tuple[str, str, Any]:
        if isinstance(body, dict):
            for at in (body, body.get("jobTemplate"), body.get("reservationTemplate")):
                if isinstance(at, dict):
                    for name in names:
                        at.pop(name, None)
        return method, path, body

    return change


def swallow(method: str, end: str) -> Before:
    """Do nothing for some calls, and say that it was done."""
    return lambda asked, path, body: (
        None if asked == method and path.partition("?")[0].endswith(end) else (asked, path, body)
    )


def asked_for(name: str, instead: str) -> Before:
    """Take no notice of a part of the query."""

    def change(method: str, path: str, body: Any) -> tuple[str, str, Any]:
        start, mark, query = path.partition("?")
        parts = [instead if part.startswith(name) else part for part in query.split("&")]
        return method, start + mark + "&".join(part for part in parts if part), body

    return change


def no_wait(method: str, path: str, body: Any) -> tuple[str, str, Any]:
    """Tell the state at once in place of waiting."""
    return method, path.replace("/waitTerminated?", "?") if method == "GET" else path, body


def told(change: Callable[[dict[str, Any]], None]) -> After:
    """Change what is told of a job."""

    def after(method: str, path: str, status: int, body: Any) -> tuple[int, Any]:
        if status == 200 and isinstance(body, dict) and "jobState" in body:
            change(body)
        return status, body

    return after


def done_runs_on() -> Callable[[dict[str, Any]], None]:
    """Take a final state back every second time."""
    turns = itertools.cycle((False, True))

    def change(body: dict[str, Any]) -> None:
        if body["jobState"] == "DONE" and next(turns):
            body["jobState"] = "RUNNING"

    return change


def other_exception(method: str, path: str, status: int, body: Any) -> tuple[int, Any]:
    """Raise an exception of another name."""
    if isinstance(body, dict) and body.get("exception") == "InvalidStateException":
        return 500, {**body, "exception": "InternalException"}
    return status, body


def always_ok(method: str, path: str, status: int, body: Any) -> tuple[int, Any]:
    """Say that a hold came in time."""
    return (200, {}) if path.endswith("/hold") and status == 409 else (status, body)


def twice(method: str, path: str, status: int, body: Any) -> tuple[int, Any]:
    """Tell each event twice."""
    if isinstance(body, dict) and "events" in body:
        body["events"] = [event for event in body["events"] for _ in (0, 1)]
    return status, body


def every_time_out_is_an_end(method: str, path: str, status: int, body: Any) -> tuple[int, Any]:
    """Answer a wait that ran out as if the job had ended."""
    return (200, {"jobId": "x", "jobState": "DONE"}) if status == 504 else (status, body)


MUTANTS = [
    Mutant(
        "drops what it does not carry",
        "refuses_what_it_does_not_carry",
        without("email", "stageInFiles", "noSuchAttribute"),
    ),
    Mutant("loses the exit status", "tells_a_failure", after=told(lambda body: body.pop("exitStatus", None))),
    Mutant(
        "loses the signal", "tells_a_signal", after=told(lambda body: body.pop("terminatingSignal", None))
    ),
    Mutant("loses the environment", "passes_arguments", without("jobEnvironment")),
    Mutant("does not wait", "waits_and_times_out", no_wait),
    Mutant("runs held jobs", "holds_at_submission", without("submitAsHold")),
    Mutant("ignores startTime", "starts_not_before", without("startTime")),
    Mutant("ignores deadlineTime", "ends_by_its_deadline", without("deadlineTime")),
    Mutant("holds what runs, it says", "holds_only_what_waits", after=always_ok),
    Mutant("suspends nothing", "suspends_and_resumes", swallow("POST", "/suspend")),
    Mutant("closes nothing", "closes_sessions", swallow("POST", "/close")),
    Mutant("destroys nothing", "destroys_sessions", swallow("DELETE", "-2")),
    Mutant("reaps nothing", "reaps_only_what_has_ended", swallow("POST", "/reap")),
    Mutant("ignores maxParallel", "keeps_max_parallel", without("maxParallel")),
    Mutant("ignores the step", "runs_arrays", without("step")),
    Mutant("goes back from DONE", "knows_its_states", after=told(done_runs_on())),
    Mutant("raises by other names", "terminates", after=other_exception),
    Mutant("ends waits that run out", "waits_and_times_out", after=every_time_out_is_an_end),
    Mutant("repeats its pages", "lists_jobs", asked_for("after=", "after=0")),
    Mutant("ignores filters", "shows_the_whole", asked_for("filter=", "")),
    Mutant("reserves another window", "reserves_slots", without("startTime")),
    Mutant("tells events twice", "tells_events", after=twice),
]


class Proxy(BaseHTTPRequestHandler):
    """Passes calls on, broken as the mutant says."""

    protocol_version = "HTTP/1.1"

    def __init__(self, mutant: Mutant, http: httpx.Client, *args: Any) -> None:
        self.mutant, self.http = mutant, http
        super().__init__(*args)

    def pass_on(self) -> None:
        """Pass one call on."""
        raw = self.rfile.read(int(self.headers.get("content-length") or 0))
        passed = self.mutant.before(self.command, self.path, json.loads(raw) if raw else None)
        if passed is None:
            result: tuple[int, Any] = 200, {}
        else:
            method, path, value = passed
            answer = self.http.request(method, path, content=None if value is None else json.dumps(value))
            result = self.mutant.after(method, path, answer.status_code, answer.json())
        text = json.dumps(result[1]).encode()
        self.send_response(result[0])
        self.send_header("content-length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    do_GET = do_POST = do_DELETE = do_PUT = pass_on  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:
        """Print nothing."""


def missed(url: str, mutant: Mutant, patience: float = 4.0) -> list[str]:
    """Play the suite against a mutant; return the clauses that it misses."""
    with httpx.Client(base_url=url, timeout=60, trust_env=False) as http:
        server = ThreadingHTTPServer(("127.0.0.1", 0), partial(Proxy, mutant, http))
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        probe = ConformanceProbe(Door(f"http://127.0.0.1:{server.server_address[1]}"), patience=patience)
        try:
            results = report.play(probe, CLAUSES, lambda result: None)
        finally:
            probe.close()
            server.shutdown()
            server.server_close()
    return [result.name for result in results if result.verdict == report.MISSED]


def survivors(url: str, mutants: list[Mutant]) -> dict[str, list[str]]:
    """Play all at once; return the clauses that each misses, by its name."""
    with ThreadPoolExecutor(len(mutants)) as pool:
        return dict(
            zip([mutant.name for mutant in mutants], pool.map(partial(missed, url), mutants), strict=True)
        )


def main() -> int:
    """Start a front, play every mutant, and print what found it."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        front = subprocess.Popen(
            [
                sys.executable,
                "-B",
                "-m",
                "merlinbay",
                "local",
                "--port",
                str(port),
                "--executors",
                "4",
                "--slots",
                "32",
                "--folder",
                folder,
                "--log",
                "plain",
            ],
            stderr=subprocess.DEVNULL,
        )
        try:
            time.sleep(2)
            found = survivors(f"http://127.0.0.1:{port}", [Mutant("sound", ""), *MUTANTS])
        finally:
            front.terminate()
            front.wait()
    for mutant in MUTANTS:
        verdict = "found" if mutant.clause in found[mutant.name] else "NOT FOUND"
        print(f"{verdict:10}{mutant.name:30}{', '.join(found[mutant.name])}")
    print(f"the sound front misses {len(found['sound'])} clauses {found['sound']}")
    return int(bool(found["sound"]) or any(mutant.clause not in found[mutant.name] for mutant in MUTANTS))


if __name__ == "__main__":
    sys.exit(main())
