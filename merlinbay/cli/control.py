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

FIRST_PAUSE_S, MOST_PAUSE_S = 0.1, 1.0  # between attempts of one call
ANSWER_S = 5.0  # for one attempt: longer than a voter keeps a proposal undecided
STATUS_S = 2.0  # for the status of one of many machines
WATCH_S = 30.0  # for a watch, which a voter answers after 20 s at the latest
VOTERS_S = 90.0  # for a change of voters, whose new one catches up first
NO_ANSWER = 599  # in place of a status
EXITS = {"conflict": WRONG_STATE, "invalid": OTHER}
CONFIG = click.option("--config", required=True, type=click.Path(dir_okay=False), help="The process's file.")
JSON_FLAG = click.option("--json", "as_json", is_flag=True, help="Print the answer as it came.")


class NotDone(click.ClickException):
    """A call came to nothing within its time."""

    def show(self, file: Any = None) -> None:
        """Say it in one line."""
        click.echo(f"merlinbay: {self.message}", err=True)


class NotTaken(NotDone):
    """No majority, or too much at once."""

    exit_code = TRY_LATER


class NobodyAnswered(NotDone):
    """No machine could be reached."""

    exit_code = UNREACHABLE


class PerhapsDone(NotDone):
    """It may have been carried out all the same."""

    exit_code = TIMED_OUT


@dataclass(frozen=True)
class Attempt:
    """What one call of one machine came to."""

    status: int  # of HTTP; NO_ANSWER
    value: dict[str, Any]
    unknown: bool = False  # it was sent, and nobody says what became of it


@dataclass(frozen=True)
class Machines:
    """The control machines that are asked, and for how long a call is tried."""

    addresses: tuple[str, ...]
    timeout: float

    def call(self, method: str, path: str, body: object = None, answer_s: float = ANSWER_S) -> Any:
        """Make one call at the first machine that can answer; raise ``NotDone`` where none can.

        It is repeated at the next machine after a failure that may pass. Changes carry an id, so that a
        repeat of one that was applied has no further effect.
        """
        deadline, pause, tried, unknown = time.monotonic() + self.timeout, FIRST_PAUSE_S, 0, False
        while True:
            address = self.addresses[tried % len(self.addresses)]
            attempt = _attempt(address, method, path, body, answer_s)
            if attempt.status < 400:
                return attempt.value
            if not attempt.value.get("retry"):
                _end(attempt)
            tried, unknown = tried + 1, unknown or attempt.unknown
            if time.monotonic() + pause >= deadline:
                text = f"not done within {self.timeout:g} s: {attempt.value['error']}"
                if unknown:
                    raise PerhapsDone(text)
                raise NobodyAnswered(text) if attempt.status == NO_ANSWER else NotTaken(text)
            time.sleep(pause)
            pause = min(pause * 2, MOST_PAUSE_S)


def _attempt(address: str, method: str, path: str, body: object, answer_s: float) -> Attempt:
    import httpx

    try:
        with httpx.Client(timeout=answer_s, follow_redirects=True, trust_env=False) as client:
            found = client.request(method, f"http://{address}/control/{path}", json=body)
            value = _object(found)
    except (httpx.HTTPError, ValueError) as error:
        problem = {"error": f"cannot reach {address}: {error}", "retry": True}
        unsent = isinstance(error, httpx.ConnectError | httpx.ConnectTimeout)
        return Attempt(NO_ANSWER, problem, unknown=not unsent)
    return Attempt(found.status_code, value, unknown=value.get("reason") == "uncertain")


def _object(found: httpx.Response) -> dict[str, Any]:
    value = found.json()
    if not isinstance(value, dict):
        raise ValueError("the answer is no JSON object")
    return value


def _end(attempt: Attempt) -> None:
    click.echo(f"merlinbay: {attempt.value.get('error', attempt.status)}", err=True)
    sys.exit(UNKNOWN if attempt.status == 404 else EXITS.get(str(attempt.value.get("reason")), OTHER))


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
    ctx.obj = Machines(tuple(one.strip() for one in at.split(",") if one.strip()), timeout)


def _with_machines(context: click.Context) -> Machines:
    machines: Machines = context.obj
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
    attempt = _attempt(address, "GET", "status", None, STATUS_S)
    return attempt.value if attempt.status < 400 else None


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


def _finish_change(machines: Machines, body: dict[str, Any]) -> None:
    try:
        found = machines.call("POST", "changes", body)
    except PerhapsDone as error:
        identity = body["change_id"]
        text = f"{error.message}; it may have been applied: repeat it with --id {identity}"
        raise PerhapsDone(text) from None
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
        found = machines.call("GET", f"watch?after={after}", answer_s=WATCH_S)
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
        found = machines.call("POST", "voters", {"add": name, "remove": remove}, answer_s=VOTERS_S)
        click.echo(f"done at revision {found['revision']}")
    found = machines.call("GET", "voters")
    for voter_name in found["voters"]:
        click.echo(f"{voter_name}{'  leader' if voter_name == found['leader'] else ''}")
    for joining in found["joining"]:
        click.echo(f"{joining}  joining")


def _announce(machines: Machines, add: str) -> str:
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
