"""``merlinbay job``: submit, look at and control jobs and arrays."""

from __future__ import annotations

import base64
import sys
from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec

from merlinbay.batch.states import JobState
from merlinbay.cli.caller import DONE, JOB_FAILED, Caller, table
from merlinbay.client.policy import DrmaaRemoteError

F = TypeVar("F", bound=Callable[..., Any])
STATES = [state.value for state in JobState]
as_json = click.option("--json", "as_json", is_flag=True, help="Print the answer as it came.")


@click.group()
def job() -> None:
    """Submit, look at and control jobs."""


def when(ctx: click.Context, param: click.Parameter, text: str | None) -> str | None:
    """Read a moment: RFC 3339 with a zone, or +SECONDS from now."""
    if text is None:
        return None
    try:
        if text.startswith("+"):
            return (datetime.now(UTC) + timedelta(seconds=float(text[1:]))).isoformat()
        moment = datetime.fromisoformat(text)
    except (ValueError, OverflowError):
        raise click.BadParameter("a time with its zone, or +SECONDS") from None
    if moment.tzinfo is None:
        raise click.BadParameter("it names no time zone")
    return moment.isoformat()


def pairs(ctx: click.Context, param: click.Parameter, texts: tuple[str, ...]) -> dict[str, str]:
    """Read NAME=VALUE options."""
    found = {}
    for text in texts:
        name, equals, value = text.partition("=")
        if not name or not equals:
            raise click.BadParameter(f"{text!r} is not NAME=VALUE")
        found[name] = value
    return found


OPTIONS = [
    click.option("--name", "jobName", help="The job's name."),
    click.option("--class", "jobCategory", help="Its class (jobCategory)."),
    click.option("--account", "accountingId", help="The account it is booked on."),
    click.option("--slots", "minSlots", type=int, help="Slots that it takes."),
    click.option("--priority", type=click.IntRange(-100, 100), help="Steps before, or behind, others."),
    click.option("--env", "jobEnvironment", multiple=True, callback=pairs, help="NAME=VALUE; repeatable."),
    click.option("--limit", "resourceLimits", multiple=True, callback=pairs, help="NAME=NUMBER: CPU_TIME=9."),
    click.option("--machine", "candidateMachines", multiple=True, help="May run there; repeatable."),
    click.option("--reservation", "reservationId", help="It takes slots of this reservation."),
    click.option("--memory", "minPhysMemory", type=int, help="Memory that it needs, in KiB."),
    click.option("--cwd", "workingDirectory", help="Its working directory, where it runs."),
    click.option("--input", "inputPath", help="A file there for its standard input."),
    click.option("--output", "outputPath", help="A file there for its standard output."),
    click.option("--error", "errorPath", help="A file there for its standard error."),
    click.option("--join", "joinFiles", is_flag=True, help="Standard error goes where the output goes."),
    click.option(
        "--stdin",
        "payload",
        type=click.Path(exists=True, dir_okay=False, allow_dash=True),
        help="A small file here that becomes its standard input.",
    ),
    click.option("--hold", "submitAsHold", is_flag=True, help="Held until it is released."),
    click.option("--start", "startTime", callback=when, help="Not before: a time, or +SECONDS."),
    click.option("--deadline", "deadlineTime", callback=when, help="Ended then: a time, or +SECONDS."),
    click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED),
]


def template_options(function: F) -> F:
    """Add an option for each attribute of a template."""
    for option in reversed(OPTIONS):
        function = option(function)
    return function


def template(options: dict[str, Any]) -> dict[str, Any]:
    """Return the job template that the options describe."""
    found = {name: value for name, value in options.items() if value not in (None, "", (), {}, False)}
    command = found.pop("command")
    found["remoteCommand"], found["args"] = command[0], list(command[1:])
    if "candidateMachines" in found:
        found["candidateMachines"] = list(found["candidateMachines"])
    try:
        found["resourceLimits"] = {
            name: int(value) for name, value in found.get("resourceLimits", {}).items()
        }
    except ValueError:
        raise click.BadParameter("NAME=NUMBER", param_hint="--limit") from None
    if "payload" in found:
        data = sys.stdin.buffer.read() if found["payload"] == "-" else Path(found["payload"]).read_bytes()
        found["payload"] = base64.b64encode(data).decode()
    return found


def line(info: dict[str, Any]) -> str:
    """Return what a person wants to know of a job."""
    parts = [info["jobId"], info["jobState"]]
    if info.get("exitStatus") is not None:
        parts.append(f"exit status {info['exitStatus']}")
    if info.get("terminatingSignal"):
        parts.append(info["terminatingSignal"])
    parts += [info[name] for name in ("exception", "jobSubState", "annotation") if info.get(name)]
    if info.get("retryAfter"):
        parts.append(f"come back in {info['retryAfter']:g} s")
    return "  ".join(parts)


def ended(caller: Caller, info: dict[str, Any], print_output: bool = True) -> int:
    """Print a job that has ended; return the exit code."""
    caller.show(info, line(info))
    if print_output and info.get("output") and not caller.as_json:
        click.echo(base64.b64decode(info["output"]), nl=False)
    return JOB_FAILED if info["jobState"] == "FAILED" else DONE


def wait_for(caller: Caller, job_ids: Sequence[str], started: bool, timeout: float | None) -> dict[str, Any]:
    """Wait for the first of the jobs, however long that is; a node that restarts is asked again."""
    with caller.client() as client:
        if len(job_ids) > 1:
            info = client.wait_any(job_ids, started, timeout)
        else:
            info = (client.wait_started if started else client.wait_terminated)(job_ids[0], timeout)
    found: dict[str, Any] = msgspec.to_builtins(info)
    return found


@job.command(context_settings={"ignore_unknown_options": False})
@template_options
@click.option("--wait", is_flag=True, help="Wait for its end; the exit code says how it ended.")
@as_json
@click.pass_obj
def submit(caller: Caller, /, wait: bool, as_json: bool, **options: Any) -> None:
    """Submit COMMAND with its arguments: merlinbay job submit --wait -- sleep 1."""
    caller.as_json = as_json
    taken = caller.call("POST", caller.path("jobs"), {"jobTemplate": template(options)})
    if not wait:
        caller.show(taken, f"{taken['jobId']}  {taken['jobState']}")
        return
    sys.exit(ended(caller, wait_for(caller, [taken["jobId"]], False, None)))


@job.command("list")
@click.option("--state", type=click.Choice(STATES), multiple=True)
@click.option("--limit", default=100, show_default=True, type=click.IntRange(1, 1_000_000))
@as_json
@click.pass_obj
def list_jobs(caller: Caller, state: tuple[str, ...], limit: int, as_json: bool) -> None:
    """List the session's jobs, in order of their submission."""
    caller.as_json = as_json
    found: list[dict[str, Any]] = []
    after: int | None = 0
    while after is not None and len(found) < limit:
        query = "".join(f"&state={name}" for name in state)
        page = caller.call(
            "GET", f"{caller.path('jobs')}?after={after}&limit={min(limit - len(found), 1000)}" + query
        )
        found += page["jobs"]
        after = page.get("next")
    names = ["jobId", "jobState", "jobOwner", "queueName", "submissionTime", "jobSubState"]
    caller.show(
        found,
        table(
            ([row.get(name) for name in names] for row in found),
            ["JOB", "STATE", "ACCOUNT", "CLASS", "SUBMITTED", ""],
        ),
    )


@job.command()
@click.argument("job_id")
@as_json
@click.pass_obj
def show(caller: Caller, job_id: str, as_json: bool) -> None:
    """Show all that is known of a job."""
    caller.as_json = as_json
    info = caller.call("GET", caller.path("jobs", job_id))
    rows = [(name, value) for name, value in info.items() if name != "output"]
    caller.show(info, table(rows, ["", ""]).strip())


@job.command()
@click.argument("job_ids", nargs=-1, required=True)
@click.option("--started", is_flag=True, help="A start is enough.")
@click.option("--timeout", type=click.FloatRange(min=0), help="Seconds; without it, as long as it takes.")
@as_json
@click.pass_obj
def wait(
    caller: Caller, job_ids: tuple[str, ...], started: bool, timeout: float | None, as_json: bool
) -> None:
    """Wait for a job, or for the first of several; the exit code says how it ended."""
    caller.as_json = as_json
    sys.exit(ended(caller, wait_for(caller, job_ids, started, timeout)))


def add_verb(verb: str, text: str) -> None:
    """Add a command that does something to jobs, one after the other."""

    @job.command(verb, help=text)
    @click.argument("job_ids", nargs=-1, required=True)
    @as_json
    @click.pass_obj
    def act(caller: Caller, job_ids: tuple[str, ...], as_json: bool) -> None:
        caller.as_json = as_json
        failed: DrmaaRemoteError | None = None
        for job_id in job_ids:
            try:
                info = caller.call("POST", caller.path("jobs", job_id, verb))
                caller.show(info, line(info))
            except (
                DrmaaRemoteError
            ) as error:  # the others are still done; the last error decides the exit code
                click.echo(f"{job_id}: {error.name}: {error}", err=True)
                failed = error
        if failed is not None:
            raise failed


for _verb, _text in {
    "hold": "Keep jobs from starting.",
    "release": "Let held jobs go on.",
    "suspend": "Stop running jobs where they stand.",
    "resume": "Let suspended jobs go on.",
    "terminate": "End jobs, wherever they are.",
    "reap": "Drop the records of jobs that have ended.",
}.items():
    add_verb(_verb, _text)


@job.group()
def array() -> None:
    """Submit, look at and control job arrays; ARRAY.INDEX names a member to the other commands."""


def array_line(info: dict[str, Any]) -> str:
    """Return what a person wants to know of an array."""
    states = "  ".join(f"{name} {number}" for name, number in info["states"].items())
    return f"{info['jobArrayId']}  {info['members']} members  {states}"


@array.command("submit")
@click.option("--begin", default=1, show_default=True)
@click.option("--end", required=True, type=int)
@click.option("--step", default=1, show_default=True)
@click.option("--max-parallel", default=0, show_default=True, help="Members out at one time; 0: any number.")
@template_options
@as_json
@click.pass_obj
def submit_array(
    caller: Caller, /, begin: int, end: int, step: int, max_parallel: int, as_json: bool, **options: Any
) -> None:
    """Submit COMMAND once for each index; $DRMAA2_INDEX in its environment tells which it is."""
    caller.as_json = as_json
    info = caller.call(
        "POST",
        caller.path("arrays"),
        {
            "jobTemplate": template(options),
            "beginIndex": begin,
            "endIndex": end,
            "step": step,
            "maxParallel": max_parallel,
        },
    )
    caller.show(info, array_line(info))


@array.command("list")
@as_json
@click.pass_obj
def list_arrays(caller: Caller, as_json: bool) -> None:
    """List the session's arrays."""
    caller.as_json = as_json
    found = caller.call("GET", caller.path("arrays"))["jobArrayIds"]
    caller.show(found, "\n".join(found))


@array.command("show")
@click.argument("array_id")
@as_json
@click.pass_obj
def show_array(caller: Caller, array_id: str, as_json: bool) -> None:
    """Show how many of an array's members are in which state."""
    caller.as_json = as_json
    info = caller.call("GET", caller.path("arrays", array_id))
    caller.show(info, array_line(info))


@array.command("act")
@click.argument("verb", type=click.Choice(["hold", "release", "suspend", "resume", "terminate", "reap"]))
@click.argument("array_id")
@as_json
@click.pass_obj
def act_on_array(caller: Caller, verb: str, array_id: str, as_json: bool) -> None:
    """Do something to all members whose state allows it."""
    caller.as_json = as_json
    info = caller.call("POST", caller.path("arrays", array_id, verb))
    caller.show(info, array_line(info))
