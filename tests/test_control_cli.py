"""``merlinbay control`` against a cluster of real processes, and that ``run`` imports nothing of it."""

from __future__ import annotations

import base64
import json
import os
import signal
import subprocess
import sys
from functools import partial
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from merlinbay.cli.main import main
from merlinbay.errors import ConfigurationError
from merlinbay.fleet.wire import Keys
from merlinbay.operator_file import read
from tests.control_cluster import Cluster, Machine, Scenario, cluster, run_side_by_side
from tests.net import CONF, free_port

ROOT = Path(__file__).parent.parent
TEAM = '{"tasks_running": 7}'


RUNNER = trio.Lock()  # a runner takes standard output for itself


async def command(machines: list[Machine], *arguments: str) -> tuple[int, str, str]:
    """Run ``merlinbay control`` against machines; return exit code, output and errors."""
    at = ",".join(machine.operator for machine in machines)
    whole = ["control", "--at", at, "--timeout", "60", *arguments]
    async with RUNNER:
        ended = await trio.to_thread.run_sync(lambda: CliRunner().invoke(main, whole))
    return ended.exit_code, ended.stdout, ended.stderr


async def good(machines: list[Machine], *arguments: str) -> str:
    """Run a command that has to succeed; return its output."""
    code, output, errors = await command(machines, *arguments)
    assert code == 0, (arguments, output, errors)
    return output


async def operators_calls(folder: Path) -> None:
    """Call any voter or a relay: the call goes on to the leader; each refusal has its exit code."""
    async with cluster(folder, relays=1) as found:
        leader = await found.leader()
        other = next(one for one in found.voters if one is not leader)
        await changes(other, found.relays[0])
        await refusals(other)
        await watching(found, other)
        await overview(found)


async def changes(voter: Machine, relay: Machine) -> None:
    """Set, repeat, read, list and delete keys."""
    assert await good([voter], "set", "teams/a", TEAM, "--id", "one") == "teams/a: revision 1\n"
    assert await good([relay], "set", "teams/a", TEAM, "--id", "one") == "teams/a: revision 1\n"
    assert await good([voter], "set", "limits/a", '{"value": 2}', "--if-revision", "0") == (
        "limits/a: revision 2\n"
    )
    shown = json.loads(await good([relay], "get", "teams/a", "--json"))
    assert shown["age_s"] == 0
    assert shown["entries"][0]["value"]["tasks_running"] == 7
    assert '"tasks_running": 7' in await good([voter], "get", "teams/", "--prefix")
    assert await good([voter], "set", "limits/a", "--delete") == "limits/a: revision 3\n"


async def refusals(voter: Machine) -> None:
    """Conflict, unknown prefix, wrong value, no such key, nobody there, wrong use."""
    cases = [
        (["set", "teams/a", TEAM, "--if-revision", "0"], 6, "at revision 1"),
        (["set", "secrets/a", "{}"], 9, "unknown prefix"),
        (["set", "teams/a", '{"tasks_running": "many"}'], 9, "tasks_running"),
        (["get", "limits/a"], 7, "no such key"),
        (["set", "teams/a", "{"], 2, "not JSON"),
        (["set", "teams/a"], 2, "either VALUE or --delete"),
        (["voters", "--add", "nobody"], 9, "no address of nobody"),
    ]
    for arguments, expected, says in cases:
        code, _, errors = await command([voter], *arguments)
        assert (code, says in errors) == (expected, True), (arguments, code, errors)


async def unknown_ends(folder: Path) -> None:
    """Tell a change that may have been applied from one that never was proposed."""
    silent = await trio.open_tcp_listeners(0, host="127.0.0.1")  # takes calls and answers none
    port = silent[0].socket.getsockname()[1]
    short = ["control", "--timeout", "0.3", "--at"]
    change = ["set", "teams/a", TEAM, "--id", "lost"]
    cases = [
        ([*short, f"127.0.0.1:{port}", *change], 5, "repeat it with --id lost"),
        ([*short, f"127.0.0.1:{free_port()}", *change], 8, "cannot reach"),
        (["control", *change], 2, "--at"),
    ]
    for arguments, expected, says in cases:
        async with RUNNER:
            ended = await trio.to_thread.run_sync(partial(CliRunner().invoke, main, arguments))
        assert (ended.exit_code, says in ended.stderr) == (expected, True), (arguments, ended.stderr)
    async with cluster(folder) as found:
        await found.leader()
        for machine in found.voters[1:]:
            machine.kill()
        lonely = found.voters[0]
        code, _, errors = await command([lonely], "--timeout", "6", "set", "teams/a", TEAM, "--id", "first")
        assert code in (4, 5), errors  # 5: it was proposed while the leader did not know yet
        code, _, errors = await command([lonely], "--timeout", "0.3", "set", "teams/a", TEAM)
        assert (code, "no leader" in errors) == (4, True), errors


async def watching(found: Cluster, voter: Machine) -> None:
    """Print changes from a revision on, those to come included."""
    answers: list[str] = []

    async def watch() -> None:
        whole = [
            "-m",
            "merlinbay",
            "control",
            "--at",
            voter.operator,
            "watch",
            "--after",
            "2",
            "--count",
            "2",
        ]
        ended = await trio.run_process([sys.executable, "-B", *whole], capture_stdout=True)
        answers.append(ended.stdout.decode())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await found.change("teams/w", {"tasks_running": 1}, "watched")
    lines = [json.loads(line) for line in answers[0].splitlines()]
    assert [(one["key"], one["revision"]) for one in lines] == [("limits/a", 3), ("teams/w", 4)]
    assert lines[0]["value"] is None


async def overview(found: Cluster) -> None:
    """Leader, followers in force, who lacks a revision, who cannot be reached."""
    follower = found.follow("worker-1", found.relays)

    async def shown() -> dict[str, object]:
        value = json.loads(await good([found.relays[0]], "status", "--expected", "2", "--json"))
        force = value["in_force"]
        leads = value["leader"] == (await found.leader()).name
        return value if leads and force["in_force"] == 1 and force["revision"] == 4 else {}

    value = await found.until("the follower is counted", shown)
    assert follower.core.revision == 4
    assert (value["in_force"]["lacking"], value["complete"]) == (1, True)
    found.voters[0].kill()

    async def rest_shown() -> bool:
        text = await good([found.relays[0]], "status")
        assert "unreachable: v0" in text
        assert "not all voters answered" in text
        return text.startswith(("leader v1", "leader v2"))

    await found.until("a leader of the rest", rest_shown)


async def voter_replaced(folder: Path) -> None:
    """Have a new voter take one's place; it knows the others by its file, they know it by the log."""
    async with cluster(folder, voters=4, start=False) as found:
        first, new = found.voters[:3], found.voters[3]
        for machine in found.voters:
            machine.text = machine.text.replace(', "v3"]', "]")
        for machine in first:
            machine.text = machine.text.partition("[machines.v3]")[0]
        for machine in found.voters:
            machine.start()
        await found.leader(first)
        await good(first, "set", "teams/a", TEAM)
        addresses = f"v3={new.shown}:7946,{new.operator}"
        output = await good(first, "voters", "--add", addresses, "--remove", "v0")
        assert "v3" in output
        assert "v0" not in output
        assert "done at revision" in await good(first, "voters", "--add", "v3", "--remove", "v0")
        found.voters[0].kill()
        rest = found.voters[1:]
        await found.leader(rest)
        revision = await found.change("teams/b", {"tasks_running": 1}, "b", rest)
        await found.same_state(rest, revision)


@pytest.mark.parametrize("role", ["voter", "relay"])
def test_a_process_of_another_role_is_not_started(tmp_path: Path, role: str) -> None:
    """One plain line, and exit 2."""
    path = tmp_path / "control.toml"
    path.write_text('name = "a"\nkeys = "k"\nupstreams = ["b"]\n[machines.b]\naddress = "127.0.0.1:1"\n')
    ended = subprocess.run(
        [sys.executable, "-B", "-m", "merlinbay", "control", role, "--config", str(path)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ended.returncode == 2
    assert ended.stderr == f"merlinbay: {path}: describes a follower, not a {role}\n"


CONTROL = """
[control]
keys = "{keys}"
[control.machines.r1]
address = "{address}"
tier = 1
"""


def test_a_nodes_section_is_checked(tmp_path: Path) -> None:
    """As the other sections of an operator's file: file, key and cause in one line."""
    path = tmp_path / "operator.toml"
    path.write_text(CONTROL.format(keys="k", address="nowhere"))
    with pytest.raises(ConfigurationError, match=r"operator.toml: control.machines.r1.address"):
        read(str(path))
    path.write_text('[control]\nkeys = "k"\n[control.machines]\n')
    with pytest.raises(ConfigurationError, match="at least one relay"):
        read(str(path))


NODE = """
import sys
from merlinbay.__main__ import main
sys.argv = ["merlinbay"]
main()
new = ("merlinbay.control", "merlinbay.control_service", "merlinbay.scale", "merlinbay.capacity")
print([name for name in sys.modules if name.startswith(new)])
"""


def test_run_imports_nothing_of_it(tmp_path: Path) -> None:
    """A node without an operator's file serves and ends without any module of these packages."""
    path = tmp_path / "config.json"
    listen = f"127.0.0.1:{free_port()}"
    path.write_text(json.dumps({"name": "n", "listen": listen, "discovery": "127.0.0.1:9", "settings": CONF}))
    node = subprocess.Popen(
        [sys.executable, "-B", "-c", NODE],
        env={**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": str(ROOT)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    with node:
        assert node.stderr is not None
        assert any("merlinbay: serves" in line for line in node.stderr)
        node.terminate()
        output, _ = node.communicate(timeout=120)
    assert output == "[]\n"


async def node_follows(folder: Path) -> None:
    """Count a node whose operator's file has the section like any follower, under its name."""
    async with cluster(folder) as found:
        leader = await found.leader()
        revision = await found.change("teams/a", {"tasks_running": 1}, "a")
        operator, path = folder / "operator.toml", folder / "config.json"
        text = CONTROL.format(keys=found.folder / "keys", address=f"{leader.address}:7946")
        operator.write_text(text.replace("[control]", '[control]\nfleet = "test"'))
        listen = f"127.0.0.1:{free_port()}"
        path.write_text(
            json.dumps({"name": "node-7", "listen": listen, "discovery": "127.0.0.1:9", "settings": CONF})
        )
        node = subprocess.Popen(
            [sys.executable, "-B", "-m", "merlinbay"],
            env={**os.environ, "LB_CONFIG": str(path), "LB_OPERATOR": str(operator)},
            stderr=subprocess.DEVNULL,
        )
        try:

            async def in_force() -> bool:
                view = await found.status(leader)
                return view is not None and [revision, 1] in view["below"][0]

            await found.until("the node is counted", in_force)
            await keys_replaced(found, leader, node)
        finally:
            node.kill()
            node.wait()


async def keys_replaced(found: Cluster, leader: Machine, node: subprocess.Popen[bytes]) -> None:
    """Replace the key without a restart: both are believed in between, then the first alone."""
    keys = found.folder / "keys"
    old, new = keys.read_text().strip(), base64.b64encode(b"n" * 32).decode()
    running = [one.process for one in found.voters if one.process is not None] + [node]
    for text in (f"{new}\n{old}\n", f"{new}\n"):
        keys.write_text(text)
        for process in running:
            process.send_signal(signal.SIGHUP)
    found.keys = Keys((b"n" * 32,))
    follower = found.follow("new-key", [leader])

    async def followed() -> bool:
        return follower.core.revision > 0

    await found.until("a follower with the new key", followed)
    # Every machine is started again, so that all connections are made under the new key.
    for machine in found.voters:
        machine.kill()
        machine.start()
    revision = await found.change("teams/k", {"tasks_running": 1}, "k")

    async def in_force() -> bool:
        view = await found.status(leader)
        return view is not None and sum(count for at, count in view["below"][0] if at >= revision) == 2

    await found.until("both followers have come back", in_force)


SCENARIOS: list[Scenario] = [operators_calls, unknown_ends, voter_replaced, node_follows]


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory: pytest.TempPathFactory) -> dict[str, BaseException | None]:
    """Run all scenarios; return what each failed with."""
    return run_side_by_side(SCENARIOS, tmp_path_factory.mktemp("control-cli"))


@pytest.mark.parametrize("name", [scenario.__name__ for scenario in SCENARIOS])
def test_what_a_scenario_wants_holds(outcomes: dict[str, BaseException | None], name: str) -> None:
    """The command line against several real processes; each scenario says what has to hold."""
    failure = outcomes[name]
    if failure is not None:
        raise failure
