"""``merlinbay conformance``: tells whether an endpoint keeps the standard."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from merlinbay.cli.caller import JOB_FAILED, Caller
from merlinbay.client.transport import Door


@click.command()
@click.option("--format", "form", type=click.Choice(["text", "junit", "json"]), default="text")
@click.option("--output", type=click.Path(path_type=Path, dir_okay=False), help="Write the report there too.")
@click.option("--only", multiple=True, help="Clauses by name; repeatable.")
@click.option("--class", "category", default="", help="The jobCategory of the jobs.")
@click.option("--patience", default=20.0, show_default=True, help="Seconds within which a short job ends.")
@click.option("--list", "list_only", is_flag=True, help="List the clauses, and play none.")
@click.pass_obj
def conformance(
    caller: Caller,
    form: str,
    output: Path | None,
    only: tuple[str, ...],
    category: str,
    patience: float,
    list_only: bool,
) -> None:
    """Play every clause against the endpoint of --url; exits with 3 if one is missed."""
    from merlinbay.conformance import report
    from merlinbay.conformance.clauses import CLAUSES
    from merlinbay.conformance.probe import ClauseNotMetError, ConformanceProbe

    if list_only:
        for found in CLAUSES:
            click.echo(f"{found.name}  {found.section} -- {found.text}")
        return
    unknown = set(only) - {found.name for found in CLAUSES}
    if unknown:
        raise click.BadParameter(f"no clause {', '.join(sorted(unknown))}", param_hint="--only")
    wanted = [found for found in CLAUSES if not only or found.name in (*only, "creates_sessions")]
    probe = ConformanceProbe(
        Door(caller.url, caller.token, caller.ca, caller.certificate), category=category, patience=patience
    )
    try:
        results = report.play(probe, wanted, lambda found: click.echo(report.line(found), err=form != "text"))
        probe.call("DELETE", f"/sessions/{probe.session}")
    except ClauseNotMetError:
        pass  # the session could not be destroyed: clauses have said so
    finally:
        probe.close()
    text = {
        "text": lambda: "\n".join([*map(report.line, results), "", report.table(results)]),
        "junit": lambda: report.as_junit(caller.url, results),
        "json": lambda: report.as_json(caller.url, results),
    }[form]()
    if output is not None:
        output.write_text(text + "\n")
    click.echo(report.table(results) if form == "text" else text)
    if any(result.verdict == report.MISSED for result in results):
        sys.exit(JOB_FAILED)
