"""The command line: the whole of ``merlinbay local`` as a person uses it, exit codes, and its parts."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from merlinbay.cli.local import prompt_stop
from merlinbay.cli.main import main
from merlinbay.event_log import EventLog, EventRate
from merlinbay.limits import ResourceLimits
from merlinbay.operator_file import SCHEMA_NAMES
from tests.net import ROOT, free_port
from tests.test_executor import alive

COMMAND = [sys.executable, "-B", "-m", "merlinbay"]


class Local:
    """A running ``merlinbay local``."""

    def __init__(self, folder: Path, slots: int = 2) -> None:
        self.port, self.folder = free_port(), folder
        self.process = subprocess.Popen(
            [
                *COMMAND,
                "local",
                "--port",
                str(self.port),
                "--executors",
                "2",
                "--slots",
                str(slots),
                "--folder",
                str(folder),
                "--log",
                "json",
            ],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        assert self.process.stderr is not None
        self.lines: list[str] = []
        while not self.lines or '"serves"' not in self.lines[-1]:
            self.lines.append(self.process.stderr.readline())
            assert self.lines[-1], self.lines

    def __call__(self, *args: str) -> Result:
        """Run a command against it, in this process."""
        return CliRunner().invoke(main, ["--url", f"http://127.0.0.1:{self.port}", *args])

    def job(self, *args: str) -> str:
        """Submit a job; return its id."""
        result = self("job", "submit", "--json", *args)
        assert result.exit_code == 0, result.output
        return str(json.loads(result.output)["jobId"])

    def counters(self) -> str:
        """Return the line of counters that SIGUSR1 prints."""
        self.process.send_signal(signal.SIGUSR1)
        assert self.process.stderr is not None
        while "counters" not in (line := self.process.stderr.readline()):
            assert line, "the node has ended"
        return line

    def info(self, job: str) -> dict[str, object]:
        """Return what is known of a job."""
        return dict(json.loads(self("job", "show", "--json", job).output))


@pytest.fixture(scope="module")
def local(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Local]:
    """Start it once for this module."""
    found = Local(tmp_path_factory.mktemp("jobs"))
    try:
        yield found
    finally:
        found.process.kill()
        found.process.wait()


def test_the_readme_s_first_command(local: Local) -> None:
    """Submit and wait: DONE, the exit status and the output; 3 where the job failed."""
    result = local("job", "submit", "--wait", "--", "echo", "minutes")
    assert result.exit_code == 0 and "DONE  exit status 0" in result.output and "minutes\n" in result.output
    result = local("job", "submit", "--wait", "--", "sh", "-c", "echo why >&2; exit 4")
    assert result.exit_code == 3 and "FAILED  exit status 4  why" in result.output
    result = local("job", "submit", "--wait", "--", "sh", "-c", "kill -KILL $$")
    assert result.exit_code == 3 and "SIGKILL" in result.output
    assert local("job", "submit", "--wait", "--", "/nowhere").exit_code == 3


def test_a_job_is_held_released_suspended_resumed_and_terminated(local: Local) -> None:
    """Each shown as the standard names it, and each wrong moment by exit code 6."""
    job = local.job("--hold", "--", "sleep", "60")
    assert local.info(job)["jobState"] == "QUEUED_HELD"
    assert local("job", "suspend", job).exit_code == 6
    assert local("job", "release", job).exit_code == 0
    assert local("job", "wait", "--started", "--timeout", "5", job).exit_code == 0
    for verb, state in (("suspend", "SUSPENDED"), ("resume", "RUNNING"), ("suspend", "SUSPENDED")):
        result = local("job", verb, job)
        assert result.exit_code == 0 and state in result.output
    assert local("job", "wait", "--timeout", "0.1", job).exit_code == 5
    assert "FAILED" in local("job", "terminate", job).output
    assert local("job", "terminate", job).exit_code == 6
    assert local("job", "reap", job).exit_code == 0 and local("job", "show", job).exit_code == 7


def test_arrays_sessions_and_lists(local: Local) -> None:
    """An array runs with its index; a session of its own keeps its jobs apart."""
    assert local("session", "create", "mine", "--share", "0.5").exit_code == 0
    assert local("session", "list", "--json").output.split() == ["[", '"default",', '"mine"', "]"]
    result = local(
        "--session",
        "mine",
        "job",
        "array",
        "submit",
        "--json",
        "--end",
        "6",
        "--max-parallel",
        "2",
        "--output",
        "out.$DRMAA2_INDEX$",
        "--",
        "sh",
        "-c",
        "echo $DRMAA2_INDEX",
    )
    array = json.loads(result.output)["jobArrayId"]
    for member in range(1, 7):
        assert local("--session", "mine", "job", "wait", f"{array}.{member}").exit_code == 0
    assert "DONE 6" in local("--session", "mine", "job", "array", "show", array).output
    assert (local.folder / "out.4").read_text() == "4\n"
    rows = json.loads(local("--session", "mine", "job", "list", "--state", "DONE", "--json").output)
    assert len(rows) == 6
    assert local("--session", "mine", "job", "array", "act", "reap", array).exit_code == 0
    for verb in ("show", "close", "open", "destroy"):
        assert local("session", verb, "mine").exit_code == 0
    assert local("session", "show", "mine").exit_code == 7


def test_input_times_and_waiting_for_one_of_several(local: Local, tmp_path: Path) -> None:
    """A small input goes along; a start in the future waits; the first of several to end answers."""
    (tmp_path / "in").write_text("small")
    result = local("job", "submit", "--wait", "--stdin", str(tmp_path / "in"), "--", "cat")
    assert result.output.endswith("small")
    late = local.job("--start", "+60", "--", "true")
    assert local.info(late)["jobSubState"] == "not before its start time"
    soon = local.job("--start", "+0.3", "--", "true")
    result = local("job", "wait", late, soon)
    assert result.exit_code == 0 and soon in result.output
    assert local("job", "terminate", late).exit_code == 0
    for bad in (
        ["--start", "tomorrow"],
        ["--start", "2027-01-01T00:00:00"],
        ["--env", "A"],
        ["--limit", "CPU_TIME=x"],
    ):
        assert local("job", "submit", *bad, "--", "true").exit_code == 2


def test_ctrl_c_leaves_no_child_behind(tmp_path: Path) -> None:
    """Running, suspended and waiting jobs: all end with it, and it ends with 0 and without waiting."""
    local = Local(tmp_path)
    jobs = [local.job("--", "sh", "-c", f"echo $$ > pid{number}; sleep 600 & wait") for number in range(6)]
    while len(pids := [int(path.read_text()) for path in tmp_path.glob("pid*") if path.read_text()]) < 4:
        time.sleep(0.02)
    running = [job for job in jobs if local.info(job)["jobState"] == "RUNNING"]
    assert len(running) == 4 and local("job", "suspend", running[0]).exit_code == 0
    held = local.job("--hold", "--", "true")
    wait = subprocess.Popen(
        [*COMMAND, "--url", f"http://127.0.0.1:{local.port}", "job", "wait", held],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    while "drmaa_waits=1" not in local.counters():
        time.sleep(0.05)
    local.process.send_signal(signal.SIGINT)
    told = wait.communicate(timeout=60)[0]  # what waits ends, and is told so, before the node is gone
    assert wait.returncode == 3 and "TryLaterException" in told and "the node stops" in told
    assert local.process.wait(60) == 0  # the jobs would run for ten minutes
    end = time.monotonic() + 60
    while (left := [pid for pid in pids if alive(pid)]) and time.monotonic() < end:
        time.sleep(0.02)  # what was killed is gone once the system has seen to it
    assert left == []


def test_ctrl_c_waits_for_no_clients() -> None:
    """The time that a node serves on after SIGTERM is for a front layer, which a person does not have."""
    limits = prompt_stop(ResourceLimits())
    assert limits.stop_serving_for_s == limits.stop_arrivals_for_s == 0.0
    assert limits.stop_timeout_s <= 1.0


def test_nobody_there_is_said_in_one_line() -> None:
    """Exit code 8."""
    result = CliRunner().invoke(main, ["--url", f"http://127.0.0.2:{free_port()}", "job", "list"])
    assert result.exit_code == 8 and len(result.output.splitlines()) == 1


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("[drmaa]\nfront = 3\n", "drmaa.front"),
        ("[drmaa]\nfronts = true\n", "fronts"),
        ("[[drmaa.session]]\nname = 'a b'\n", "session"),
        ("[drmaa.default]\nshare = 0\n", "drmaa.default.share"),
        ("[[drmaa.session]]\nname = 'default'\n", "drmaa.session"),
        ("[log]\nformat = 'xml'\n", "log.format"),
        ("[dnssd]\nnameserver = 'x'\nservice = 'y'\n", "dnssd.nameserver"),
        ("[drmaa\n", "line 1"),
    ],
)
def test_config_check_names_file_key_and_cause(tmp_path: Path, text: str, words: str) -> None:
    """One line and exit code 2; a good file is said to be so."""
    path = tmp_path / "operator.toml"
    path.write_text(text)
    result = CliRunner().invoke(main, ["config", "check", str(path)])
    assert result.exit_code == 2 and len(result.output.splitlines()) == 1
    assert str(path) in result.output and words in result.output
    path.write_text("[drmaa]\nfront = true\naccess.open = true\n")
    result = CliRunner().invoke(main, ["config", "check", str(path)])
    assert result.exit_code == 0 and "drmaa.front" in result.output


def test_events_are_lines_of_json_with_a_rate(capsys: pytest.CaptureFixture[str]) -> None:
    """One name each, with what belongs to it; what is beyond the rate is counted and said; levels count."""
    log = EventLog(2, "json", "info", "n0")
    for number in range(5):
        log.event("job_ended", job=str(number), session="q")
    log.event("job_refused", level="debug", job="x")
    log.rates["job_ended"] = EventRate(0, 2, 3)  # a second later
    log.event("job_ended", level="warning", job="6", session="q")
    log.line("free text")
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert [(line["event"], line.get("job"), line["level"]) for line in lines] == [
        ("job_ended", "0", "info"),
        ("job_ended", "1", "info"),
        ("job_ended", "6", "warning"),
        ("note", None, "info"),
    ]
    assert lines[2]["dropped_before"] == 3 and all(line["node"] == "n0" for line in lines)


def test_serve_runs_a_node_by_the_files_it_is_given(tmp_path: Path) -> None:
    """A bad one ends it with one line and 2, as the bare program."""
    (tmp_path / "config.json").write_text("{")
    done = subprocess.run(
        [*COMMAND, "serve", "--config", str(tmp_path / "config.json")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1
    assert str(tmp_path / "config.json") in done.stderr


def test_the_schema_and_the_completion_are_printed() -> None:
    """The schema names every section; each shell's script names the program."""
    schema = json.loads(CliRunner().invoke(main, ["config", "schema"]).output)
    assert {"Drmaa", "DnsSd", "LogSection", "SessionSection"} <= set(schema["$defs"])
    earlier = {"Access", "Events", "Fleet", "Reservations", "Section", "Sessions"}  # by names of their own
    assert earlier <= set(schema["$defs"]) and not set(SCHEMA_NAMES) & set(schema["$defs"])
    for shell in ("bash", "zsh", "fish"):
        assert "_MERLINBAY_COMPLETE" in CliRunner().invoke(main, ["completion", shell]).output


def test_the_platform_s_start_imports_none_of_it() -> None:
    """Neither the command line nor the batch side, nor what they use."""
    code = (
        "import sys; import merlinbay.__main__, merlinbay.node; "
        "print([name for name in sys.modules if name.startswith(('click', 'structlog', 'merlinbay.cli', "
        "'merlinbay.batch', 'merlinbay.drmaa', 'merlinbay.executor', 'merlinbay.dnssd', 'dns.', "
        "'merlinbay.fleet', 'merlinbay.rig', 'merlinbay.simhost', 'merlinbay.operator_file'))])"
    )
    done = subprocess.run(
        [sys.executable, "-B", "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ},
    )
    assert done.stdout == "[]\n"


def test_reservations_events_and_monitoring_from_the_command_line(local: Local) -> None:
    """What is reserved is shown and used; events are printed until one is DONE; machines as believed."""
    made = json.loads(local("reservation", "request", "--slots", "1", "--duration", "60", "--json").output)
    name = made["reservationId"]
    assert name in local("reservation", "list").output
    job = local.job("--reservation", name, "--", "echo", "mine")
    assert "DONE" in local("job", "wait", job).output
    assert local("reservation", "extend", name, "--end", "+90").exit_code == 0
    assert "ENDED" in local("reservation", "terminate", name).output
    assert local("reservation", "terminate", name).exit_code == 6
    assert local("job", "submit", "--reservation", name, "--", "true").exit_code == 9
    told = local("events", "watch", "--after", "", "--job", job, "--until", "DONE").output
    assert told.index("NEW_STATE  " + job + "  QUEUED") < told.index("RUNNING") < told.index("DONE")
    found = json.loads(local("monitor", "jobs", "--filter", f'jobId == "{job}"', "--json").output)
    assert [row["jobState"] for row in found] == ["DONE"]
    assert local("monitor", "jobs", "--filter", "nonsense").exit_code == 9
    assert "local-1" in local("monitor", "machines").output and "batch" in local("monitor", "queues").output
    listener = local("events", "register", f"http://127.0.0.1:{free_port()}/").output.split()[0]
    assert local("events", "rotate", listener).output.split()[1].startswith("whsec_")
    assert listener in local("events", "listeners").output
    assert local("events", "remove", listener).exit_code == 0


@pytest.mark.parametrize(("earlier", "name"), [("rehearse", "simulate"), ("rig", "inject-faults")])
def test_commands_keep_their_earlier_names_out_of_sight(earlier: str, name: str) -> None:
    """A script that calls a command by its earlier name goes on working."""
    by_earlier, by_name = (CliRunner().invoke(main, [one, "--help"]) for one in (earlier, name))
    assert by_earlier.exit_code == by_name.exit_code == 0
    assert by_earlier.output.replace(f" {earlier} ", f" {name} ") == by_name.output
    assert (
        CliRunner().invoke(main, [earlier, "list"]).output == CliRunner().invoke(main, [name, "list"]).output
    )
    commands = CliRunner().invoke(main, ["--help"]).output
    assert f"  {name} " in commands and f"  {earlier} " not in commands
