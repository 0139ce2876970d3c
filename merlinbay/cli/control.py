"""``merlinbay control``: run control processes; read, change and watch the replicated configuration."""

from __future__ import annotations

import json
import sys
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import click

from merlinbay.cli.caller import OTHER, TIMED_OUT, TRY_LATER, UNKNOWN, UNREACHABLE, WRONG_STATE

if TYPE_CHECKING:
    import httpx

FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.1, 1.0  # between attempts of one call
ANSWER_TIMEOUT_S = 5.0  # for one attempt: longer than a voter keeps a proposal undecided
STATUS_TIMEOUT_S = 2.0  # for the status of one of many machines
WATCH_TIMEOUT_S = 30.0  # for a watch, which a voter answers after 20 s at the latest
VOTERS_TIMEOUT_S = 90.0  # for a change of voters, whose new one catches up first
NO_ANSWER = 599  # in place of a status
EXITS = {"conflict": WRONG_STATE, "invalid": OTHER}
CONFIG = click.option("--config", required=True, type=click.Path(dir_okay=False), help="The process's file.")
JSON_FLAG = click.option("--json", "as_json", is_flag=True, help="Print the answer as it came.")


class CallFailedError(click.ClickException):
    """A call did not succeed within its time."""

    def show(self, file: Any = None) -> None:
        """Print one line."""
        click.echo(f"merlinbay: {self.message}", err=True)


class CallRejectedError(CallFailedError):
    """Rejected for now: no majority, or overloaded."""

    exit_code = TRY_LATER


class NoAnswerError(CallFailedError):
    """No machine could be reached."""

    exit_code = UNREACHABLE


class OutcomeUnknownError(CallFailedError):
    """The call may have been carried out."""

    exit_code = TIMED_OUT


@dataclass(frozen=True)
class CallAnswer:
    """The answer of one machine to one call."""

    status: int  # of HTTP; NO_ANSWER
    value: dict[str, Any]
    is_unknown: bool = False  # the call was sent, and its outcome is not known


@dataclass(frozen=True)
class ControlMachines:
    """The control machines to call, and for how many seconds a call is tried."""

    addresses: tuple[str, ...]
    timeout: float

    def call(
        self, method: str, path: str, body: object = None, answer_timeout_s: float = ANSWER_TIMEOUT_S
    ) -> Any:
        """Make one call at the first machine that can answer; raise ``CallFailedError`` if none can.

        It is repeated at the next machine after a failure that may pass. Changes carry an id, so that a
        repeat of one that was applied has no further effect.
        """
        deadline, pause, tried, is_unknown = time.monotonic() + self.timeout, FIRST_PAUSE_S, 0, False
        while True:
            address = self.addresses[tried % len(self.addresses)]
            answer = _call_once(address, method, path, body, answer_timeout_s)
            if answer.status < 400:
                return answer.value
            if not answer.value.get("retry"):
                _exit_failed(answer)
            tried, is_unknown = tried + 1, is_unknown or answer.is_unknown
            if time.monotonic() + pause >= deadline:
                text = f"not done within {self.timeout:g} s: {answer.value['error']}"
                if is_unknown:
                    raise OutcomeUnknownError(text)
                raise NoAnswerError(text) if answer.status == NO_ANSWER else CallRejectedError(text)
            time.sleep(pause)
            pause = min(pause * 2, LONGEST_PAUSE_S)


def _call_once(address: str, method: str, path: str, body: object, answer_timeout_s: float) -> CallAnswer:
    import httpx

    try:
        with httpx.Client(timeout=answer_timeout_s, follow_redirects=True, trust_env=False) as client:
            found = client.request(method, f"http://{address}/control/{path}", json=body)
            value = _object(found)
    except (httpx.HTTPError, ValueError) as error:
        problem = {"error": f"cannot reach {address}: {error}", "retry": True}
        unsent = isinstance(error, httpx.ConnectError | httpx.ConnectTimeout)
        return CallAnswer(NO_ANSWER, problem, is_unknown=not unsent)
    return CallAnswer(found.status_code, value, is_unknown=value.get("reason") == "uncertain")


def _object(found: httpx.Response) -> dict[str, Any]:
    value = found.json()
    if not isinstance(value, dict):
        raise ValueError("the answer is no JSON object")
    return value


def _exit_failed(answer: CallAnswer) -> None:
    click.echo(f"merlinbay: {answer.value.get('error', answer.status)}", err=True)
    sys.exit(UNKNOWN if answer.status == 404 else EXITS.get(str(answer.value.get("reason")), OTHER))


@click.group()
@click.option(
    "--at",
    envvar="MERLINBAY_CONTROL",
    default="",
    help="Operators' addresses of control machines, host:port, separated by commas; one is enough.",
)
@click.option("--timeout", default=15.0, show_default=True, help="Seconds for which a call is tried.")
@click.pass_context
def control(ctx: click.Context, at: str, timeout: float) -> None:
    """Run control processes; read, change and watch the replicated configuration."""
    ctx.obj = ControlMachines(tuple(one.strip() for one in at.split(",") if one.strip()), timeout)


def _with_machines(context: click.Context) -> ControlMachines:
    machines: ControlMachines = context.obj
    if not machines.addresses:
        raise click.UsageError("--at, or MERLINBAY_CONTROL, has to name a control machine")
    return machines


def _run(config: str, role: str) -> None:
    from merlinbay.control_service.process import serve

    sys.exit(serve(config, role))


@control.command("serve")
@CONFIG
def serve_command(config: str) -> None:
    """Run the control process that a file describes, until SIGTERM."""
    _run(config, "")


@control.command()
@CONFIG
def voter(config: str) -> None:
    """Run a voter until SIGTERM."""
    _run(config, "voter")


@control.command()
@CONFIG
def relay(config: str) -> None:
    """Run a relay until SIGTERM."""
    _run(config, "relay")


@control.command()
@CONFIG
def follower(config: str) -> None:
    """Run a follower until SIGTERM."""
    _run(config, "follower")


@control.command()
@JSON_FLAG
@click.option("--expected", default=0, help="Followers that there should be, where that is known.")
@click.pass_context
def status(ctx: click.Context, as_json: bool, expected: int) -> None:
    """Print leader, term, revision, who is reachable, and how far the revision is in force."""
    from merlinbay.cli.control_status import gather, lines

    machines = _with_machines(ctx)
    overview = gather(machines.call("GET", "status"), _status_of, expected)
    click.echo(json.dumps(overview.as_json(), indent=2) if as_json else "\n".join(lines(overview)))


def _status_of(address: str) -> dict[str, Any] | None:
    answer = _call_once(address, "GET", "status", None, STATUS_TIMEOUT_S)
    return answer.value if answer.status < 400 else None


@control.command()
@click.argument("key")
@click.option("--local", is_flag=True, help="What the machine itself has, with its age; needs no majority.")
@click.option("--prefix", is_flag=True, help="All keys that begin with KEY, as the machine itself has them.")
@JSON_FLAG
@click.pass_context
def get(ctx: click.Context, key: str, local: bool, prefix: bool, as_json: bool) -> None:
    """Print the value of KEY, as a majority of the voters has it."""
    from urllib.parse import quote

    path = f"keys?prefix={quote(key)}" if prefix else f"keys/{quote(key)}{'?local=1' if local else ''}"
    found = _with_machines(ctx).call("GET", path)
    if as_json:
        click.echo(json.dumps(found, indent=2))
    else:
        _print_entries(found)
    if not found["entries"] and not prefix:
        click.echo(f"merlinbay: {key}: no such key", err=True)
        sys.exit(UNKNOWN)


def _print_entries(found: dict[str, Any]) -> None:
    for one in found["entries"]:
        value = "deleted" if one["value"] is None else json.dumps(one["value"])
        click.echo(f"{one['key']}  revision {one['revision']}  {value}")
    if found["age_s"] != 0:
        age = "an unknown time" if found["age_s"] is None else f"{found['age_s']:.1f} s"
        click.echo(f"as of revision {found['revision']}, {age} old", err=True)


@control.command("set")
@click.argument("key")
@click.argument("value", required=False)
@click.option("--delete", is_flag=True, help="Delete the key.")
@click.option("--if-revision", type=click.IntRange(0), help="Only if the key is at it; 0: not there.")
@click.option("--id", "change_id", default="", help="The change's id, to repeat one whose end is not known.")
@click.pass_context
def set_command(
    ctx: click.Context, key: str, value: str | None, delete: bool, if_revision: int | None, change_id: str
) -> None:
    """Set KEY to VALUE (JSON). Exit 5: it may have been applied; 6: it is at another revision."""
    if delete == (value is not None):
        raise click.UsageError("either VALUE or --delete")
    parsed = None if value is None else _parsed(value)
    if value is not None and parsed is None:
        raise click.UsageError("VALUE null: use --delete")
    identity = change_id or uuid.uuid4().hex
    body = {"change_id": identity, "key": key, "value": parsed, "expected_revision": if_revision}
    _finish_change(_with_machines(ctx), body)


def _parsed(value: str) -> Any:
    try:
        return json.loads(value)
    except ValueError as error:
        raise click.UsageError(f"VALUE is not JSON: {error}") from None


def _finish_change(machines: ControlMachines, body: dict[str, Any]) -> None:
    try:
        found = machines.call("POST", "changes", body)
    except OutcomeUnknownError as error:
        identity = body["change_id"]
        text = f"{error.message}; it may have been applied: repeat it with --id {identity}"
        raise OutcomeUnknownError(text) from None
    click.echo(f"{body['key']}: revision {found['revision']}")


@control.command()
@click.option("--after", default=-1, help="Begin behind this revision; by default with what comes next.")
@click.option("--count", default=0, help="End after so many changed keys; 0: never.")
@click.option("--prefix", default="", help="Only keys that begin with it.")
@click.pass_context
def watch(ctx: click.Context, after: int, count: int, prefix: str) -> None:
    """Print keys as they change, a line of JSON each; of several changes of one key perhaps the last only."""
    machines, seen = _with_machines(ctx), 0
    if after < 0:
        after = machines.call("GET", "status")["revision"]
    while True:
        found = machines.call("GET", f"watch?after={after}", answer_timeout_s=WATCH_TIMEOUT_S)
        entries = [one for one in found["entries"] if one["revision"] > after]
        for one in sorted(entries, key=lambda one: int(one["revision"])):
            if one["key"].startswith(prefix):
                click.echo(json.dumps(one))
                seen += 1
                if seen == count:
                    return
        # Guards against going back where another machine, which is behind, answers.
        after = max(after, found["revision"])


@control.command()
@click.option("--add", metavar="NAME[=HOST:PORT[,HOST:PORT]]", help="Its address, and its operators' one.")
@click.option("--remove", metavar="NAME")
@click.pass_context
def voters(ctx: click.Context, add: str | None, remove: str | None) -> None:
    """Print the voters; add one, remove one, or have one take another's place."""
    machines = _with_machines(ctx)
    name = _announce(machines, add) if add else None
    if name or remove:
        found = machines.call(
            "POST", "voters", {"add": name, "remove": remove}, answer_timeout_s=VOTERS_TIMEOUT_S
        )
        click.echo(f"done at revision {found['revision']}")
    found = machines.call("GET", "voters")
    for voter_name in found["voters"]:
        click.echo(f"{voter_name}{'  leader' if voter_name == found['leader'] else ''}")
    for joining in found["joining"]:
        click.echo(f"{joining}  joining")


def _announce(machines: ControlMachines, add: str) -> str:
    """Write a machine's addresses into the log, where they are given; return its name."""
    name, _, addresses = add.partition("=")
    if addresses:
        address, _, operator = addresses.partition(",")
        body = {
            "change_id": uuid.uuid4().hex,
            "key": f"machines/{name}",
            "value": {"address": address, "operator": operator},
            "expected_revision": None,
        }
        machines.call("POST", "changes", body)
    return name


@control.command()
@click.pass_context
def transfer(ctx: click.Context) -> None:
    """Have the leader hand over to another voter, before its machine is taken out of service."""
    _with_machines(ctx).call("POST", "transfer")
    click.echo("the leader was told to hand over")
