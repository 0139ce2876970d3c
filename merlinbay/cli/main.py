"""``merlinbay``: the group of all commands, and those that need no front."""

from __future__ import annotations

import copy
import json
import os
import sys
from pathlib import Path

import click
from click.shell_completion import get_completion_class

from merlinbay.cli.caller import DONE, Caller, end_with
from merlinbay.client.policy import DrmaaRemoteError

EARLIER_NAMES = {"rehearse": "simulate", "rig": "inject-faults"}  # of commands; taken for one release more
LOCAL = "http://127.0.0.1:8181"


class Group(click.Group):
    """A group whose commands end with a documented exit code."""

    def invoke(self, ctx: click.Context) -> object:
        """Run a command."""
        try:
            return super().invoke(ctx)
        except (DrmaaRemoteError, OSError) as error:
            end_with(error)


@click.group(cls=Group, context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--url", envvar="MERLINBAY_URL", default=LOCAL, show_default=True, help="The front's address.")
@click.option(
    "--session",
    envvar="MERLINBAY_SESSION",
    default="default",
    show_default=True,
    help="The job session that is meant.",
)
@click.option("--token", envvar="MERLINBAY_TOKEN", default="", help="The bearer token.")
@click.option("--ca", envvar="MERLINBAY_CA", default="", help="PEM file of who signs its certificate.")
@click.option("--cert", envvar="MERLINBAY_CERT", default="", help="PEM file of our certificate and its key.")
@click.pass_context
def main(ctx: click.Context, url: str, session: str, token: str, ca: str, cert: str) -> None:
    """Run a node, and submit and control batch jobs."""
    if not url.startswith(("http://", "https://")):
        raise click.BadParameter("it starts with http:// or https://", param_hint="--url")
    ctx.obj = Caller(url, session, token, ca, cert)


@main.command()
@click.option("--config", type=click.Path(dir_okay=False), help="The node's configuration, as LB_CONFIG.")
@click.option("--operator", type=click.Path(dir_okay=False), help="The operator's file, as LB_OPERATOR.")
def serve(config: str | None, operator: str | None) -> None:
    """Run one node until SIGTERM."""
    from merlinbay.node import serve as run_node

    for name, value in (("LB_CONFIG", config), ("LB_OPERATOR", operator)):
        if value is not None:
            os.environ[name] = value
    sys.exit(run_node())


@main.group("config")
def config_group() -> None:
    """Check the operator's file."""


@config_group.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Read an operator's FILE as a node would, and say what is wrong with it in one line."""
    from merlinbay.errors import ConfigurationError
    from merlinbay.operator_file import read

    try:
        operator = read(file)
    except ConfigurationError as error:
        click.echo(f"merlinbay: {error}", err=True)
        sys.exit(2)
    on = [
        name
        for name, is_on in (
            ("drmaa.front", operator.drmaa.front),
            ("drmaa.servers", operator.drmaa.servers),
            ("dnssd", operator.dnssd is not None),
        )
        if is_on
    ]
    click.echo(f"{file}: good; on: {', '.join(on) or 'nothing'}")


@config_group.command("schema")
def print_schema() -> None:
    """Print the JSON schema of the operator's file."""
    from merlinbay.operator_file import schema

    click.echo(json.dumps(schema(), indent=2))


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print a script that completes commands in SHELL: eval "$(merlinbay completion bash)"."""
    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(main, {}, "merlinbay", "_MERLINBAY_COMPLETE").source())


@main.command()
@click.option("--port", default=8181, show_default=True, help="Where the front listens, on 127.0.0.1.")
@click.option("--executors", default=2, show_default=True, type=click.IntRange(1, 16))
@click.option("--slots", default=4, show_default=True, type=click.IntRange(1, 1024), help="Of each executor.")
@click.option("--log", "log_format", default="console", type=click.Choice(["plain", "console", "json"]))
@click.option(
    "--folder",
    type=click.Path(file_okay=False, exists=True, path_type=Path),
    default=Path.cwd,
    help="Where jobs run; this folder by default.",
)
def local(port: int, executors: int, slots: int, log_format: str, folder: Path) -> None:
    """Start a front and executors that run jobs as processes on this machine, until Ctrl-C."""
    from merlinbay.cli.local import start

    sys.exit(start(port, executors, slots, log_format, folder))


def attach() -> None:
    """Add the commands that call a front."""
    from merlinbay.cli.capacity import capacity, fit_runs
    from merlinbay.cli.conformance import conformance
    from merlinbay.cli.control import control
    from merlinbay.cli.events import events
    from merlinbay.cli.experiment import experiment, report_page
    from merlinbay.cli.fleet import fleet
    from merlinbay.cli.inject_faults import inject_faults
    from merlinbay.cli.jobs import job
    from merlinbay.cli.monitor import monitor
    from merlinbay.cli.operate import operate
    from merlinbay.cli.reservations import reservation
    from merlinbay.cli.scale import scale
    from merlinbay.cli.sessions import session
    from merlinbay.cli.simulate import simulate
    from merlinbay.cli.store import store

    scale.add_command(capacity)
    scale.add_command(fit_runs)
    for command in (
        control,
        fleet,
        operate,
        store,
        job,
        session,
        conformance,
        events,
        monitor,
        reservation,
        simulate,
        inject_faults,
        scale,
        experiment,
        report_page,
    ):
        main.add_command(command)
    attach_keys()
    add_aliases()


def attach_keys() -> None:
    """Add the commands for keys and certificates, where the libraries of the front are installed."""
    try:
        from merlinbay.cli.keys import keys, tls
    except ModuleNotFoundError:  # there is nothing to make keys for
        return
    main.add_command(keys)
    main.add_command(tls)


def add_aliases() -> None:
    """Keep the earlier names of commands, out of sight."""
    for earlier, name in EARLIER_NAMES.items():
        command = copy.copy(main.commands[name])
        command.hidden = True
        main.add_command(command, earlier)


attach()

__all__ = ["DONE", "main"]
