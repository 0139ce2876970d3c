"""``merlinbay control`` against a cluster of real processes, and the ``control`` section of a node."""

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


RUNNER_LOCK = trio.Lock()  # CliRunner replaces standard output, so only one may run at a time


async def command(machines: list[Machine], *arguments: str) -> tuple[int, str, str]:
    """Run ``merlinbay control`` against machines; return exit code, output and errors."""
    addresses = ",".join(machine.operator for machine in machines)
    all_arguments = ["control", "--at", addresses, "--timeout", "60", *arguments]
    async with RUNNER_LOCK:
        ended = await trio.to_thread.run_sync(lambda: CliRunner().invoke(main, all_arguments))
    return ended.exit_code, ended.stdout, ended.stderr


async def command_output(machines: list[Machine], *arguments: str) -> str:
    """Run a command that has to succeed; return its output."""
    code, output, errors = await command(machines, *arguments)
    assert code == 0, (arguments, output, errors)
    return output


async def calls_at_any_machine(folder: Path) -> None:
    """Call any voter or a relay: the call reaches the leader, and each rejection has its own exit code."""
    async with cluster(folder, relays=1) as control_cluster:
        leader = await control_cluster.leader()
        voter = next(machine for machine in control_cluster.voters if machine is not leader)
        await changes(voter, control_cluster.relays[0])
        await rejections(voter)
        await watching(control_cluster, voter)
        await status_overview(control_cluster)


async def changes(voter: Machine, relay: Machine) -> None:
    """Set, repeat, read, list and delete keys; a repeated change is applied once."""
    assert await command_output([voter], "set", "teams/a", TEAM, "--id", "one") == "teams/a: revision 1\n"
    assert await command_output([relay], "set", "teams/a", TEAM, "--id", "one") == "teams/a: revision 1\n"
    assert await command_output([voter], "set", "limits/a", '{"value": 2}', "--if-revision", "0") == (
        "limits/a: revision 2\n"
    )
    shown = json.loads(await command_output([relay], "get", "teams/a", "--json"))
    assert shown["age_s"] == 0
    assert shown["entries"][0]["value"]["tasks_running"] == 7
    assert '"tasks_running": 7' in await command_output([voter], "get", "teams/", "--prefix")
    assert await command_output([voter], "set", "limits/a", "--delete") == "limits/a: revision 3\n"


async def rejections(voter: Machine) -> None:
    """Check exit code and message of conflicts, invalid or missing keys, unknown voters and bad usage."""
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


async def unknown_results(folder: Path) -> None:
    """Distinguish, by exit code, a change that may have been applied from one that was never proposed."""
    silent = await trio.open_tcp_listeners(0, host="127.0.0.1")  # accepts connections and never answers
    port = silent[0].socket.getsockname()[1]
    short = ["control", "--timeout", "0.3", "--at"]
    change = ["set", "teams/a", TEAM, "--id", "lost"]
    cases = [
        ([*short, f"127.0.0.1:{port}", *change], 5, "repeat it with --id lost"),
        ([*short, f"127.0.0.1:{free_port()}", *change], 8, "cannot reach"),
        (["control", *change], 2, "--at"),
    ]
    for arguments, expected, says in cases:
        async with RUNNER_LOCK:
            ended = await trio.to_thread.run_sync(partial(CliRunner().invoke, main, arguments))
        assert (ended.exit_code, says in ended.stderr) == (expected, True), (arguments, ended.stderr)
    async with cluster(folder) as control_cluster:
        await control_cluster.leader()
        for machine in control_cluster.voters[1:]:
            machine.kill()
        survivor = control_cluster.voters[0]
        code, _, errors = await command([survivor], "--timeout", "6", "set", "teams/a", TEAM, "--id", "first")
        assert code in (4, 5), (
            errors
        )  # 5: it was proposed before the leader noticed that it had lost its quorum
        code, _, errors = await command([survivor], "--timeout", "0.3", "set", "teams/a", TEAM)
        assert (code, "no leader" in errors) == (4, True), errors


async def watching(control_cluster: Cluster, voter: Machine) -> None:
    """Print the changes after a revision, including changes made later."""
    answers: list[str] = []

    async def watch() -> None:
        arguments = [
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
        ended = await trio.run_process([sys.executable, "-B", *arguments], capture_stdout=True)
        answers.append(ended.stdout.decode())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await control_cluster.change("teams/w", {"tasks_running": 1}, "watched")
    lines = [json.loads(line) for line in answers[0].splitlines()]
    assert [(change["key"], change["revision"]) for change in lines] == [("limits/a", 3), ("teams/w", 4)]
    assert lines[0]["value"] is None


async def status_overview(control_cluster: Cluster) -> None:
    """Show leader, followers in force, followers that lack a revision, and unreachable machines."""
    follower = control_cluster.follow("worker-1", control_cluster.relays)

    async def follower_counted() -> dict[str, object]:
        value = json.loads(
            await command_output([control_cluster.relays[0]], "status", "--expected", "2", "--json")
        )
        force = value["in_force"]
        leads = value["leader"] == (await control_cluster.leader()).name
        return value if leads and force["in_force"] == 1 and force["revision"] == 4 else {}

    value = await control_cluster.until("the follower is counted", follower_counted)
    assert follower.core.revision == 4
    assert (value["in_force"]["lacking"], value["complete"]) == (1, True)
    control_cluster.voters[0].kill()

    async def new_leader_shown() -> bool:
        text = await command_output([control_cluster.relays[0]], "status")
        assert "unreachable: v0" in text
        assert "not all voters answered" in text
        return text.startswith(("leader v1", "leader v2"))

    await control_cluster.until("a leader of the remaining voters", new_leader_shown)


async def voter_replaced(folder: Path) -> None:
    """Replace a voter by a new one, which finds the others in its file; they find it through the log."""
    async with cluster(folder, voters=4, start=False) as control_cluster:
        first, new = control_cluster.voters[:3], control_cluster.voters[3]
        for machine in control_cluster.voters:
            machine.text = machine.text.replace(', "v3"]', "]")
        for machine in first:
            machine.text = machine.text.partition("[machines.v3]")[0]
        for machine in control_cluster.voters:
            machine.start()
        await control_cluster.leader(first)
        await command_output(first, "set", "teams/a", TEAM)
        addresses = f"v3={new.shown}:7946,{new.operator}"
        output = await command_output(first, "voters", "--add", addresses, "--remove", "v0")
        assert "v3" in output
        assert "v0" not in output
        assert "done at revision" in await command_output(first, "voters", "--add", "v3", "--remove", "v0")
        control_cluster.voters[0].kill()
        remaining = control_cluster.voters[1:]
        await control_cluster.leader(remaining)
        revision = await control_cluster.change("teams/b", {"tasks_running": 1}, "b", remaining)
        await control_cluster.same_state(remaining, revision)


@pytest.mark.parametrize("role", ["voter", "relay"])
def test_process_of_an_unexpected_role_does_not_start(tmp_path: Path, role: str) -> None:
    """Guards against a process that starts in an unexpected role: it prints one line and exits with 2."""
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


def test_invalid_control_section_of_a_node_is_rejected(tmp_path: Path) -> None:
    """Guards against an invalid section that is accepted; the error names file, key and cause in one line."""
    path = tmp_path / "operator.toml"
    path.write_text(CONTROL.format(keys="k", address="nowhere"))
    with pytest.raises(ConfigurationError, match=r"operator.toml: control.machines.r1.address"):
        read(str(path))
    path.write_text('[control]\nkeys = "k"\n[control.machines]\n')
    with pytest.raises(ConfigurationError, match="at least one relay"):
        read(str(path))


NODE_PROGRAM = """
import sys
from merlinbay.__main__ import main
sys.argv = ["merlinbay"]
main()
new = ("merlinbay.control", "merlinbay.control_service", "merlinbay.scale", "merlinbay.capacity")
print([name for name in sys.modules if name.startswith(new)])
"""


def test_node_without_an_operators_file_imports_no_control_packages(tmp_path: Path) -> None:
    """Guards against optional packages being loaded by a node that does not use them."""
    path = tmp_path / "config.json"
    listen = f"127.0.0.1:{free_port()}"
    path.write_text(json.dumps({"name": "n", "listen": listen, "discovery": "127.0.0.1:9", "settings": CONF}))
    node = subprocess.Popen(
        [sys.executable, "-B", "-c", NODE_PROGRAM],
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
    """Count a node whose operator's file has a ``control`` section as a follower, under its own name."""
    async with cluster(folder) as control_cluster:
        leader = await control_cluster.leader()
        revision = await control_cluster.change("teams/a", {"tasks_running": 1}, "a")
        operator, path = folder / "operator.toml", folder / "config.json"
        text = CONTROL.format(keys=control_cluster.folder / "keys", address=f"{leader.address}:7946")
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
                view = await control_cluster.status(leader)
                return view is not None and [revision, 1] in view["below"][0]

            await control_cluster.until("the node is counted", in_force)
            await keys_replaced(control_cluster, leader, node)
        finally:
            node.kill()
            node.wait()


async def keys_replaced(control_cluster: Cluster, leader: Machine, node: subprocess.Popen[bytes]) -> None:
    """Replace the key without a restart: both keys are accepted for a while, then only the new one."""
    keys = control_cluster.folder / "keys"
    old, new = keys.read_text().strip(), base64.b64encode(b"n" * 32).decode()
    running = [voter.process for voter in control_cluster.voters if voter.process is not None] + [node]
    for text in (f"{new}\n{old}\n", f"{new}\n"):
        keys.write_text(text)
        for process in running:
            process.send_signal(signal.SIGHUP)
    control_cluster.keys = Keys((b"n" * 32,))
    follower = control_cluster.follow("new-key", [leader])

    async def followed() -> bool:
        return follower.core.revision > 0

    await control_cluster.until("a follower with the new key", followed)
    # Restart every machine, so that all connections are made under the new key.
    for machine in control_cluster.voters:
        machine.kill()
        machine.start()
    revision = await control_cluster.change("teams/k", {"tasks_running": 1}, "k")

    async def in_force() -> bool:
        view = await control_cluster.status(leader)
        return (
            view is not None and sum(count for applied, count in view["below"][0] if applied >= revision) == 2
        )

    await control_cluster.until("both followers have come back", in_force)


SCENARIOS: list[Scenario] = [calls_at_any_machine, unknown_results, voter_replaced, node_follows]


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory: pytest.TempPathFactory) -> dict[str, BaseException | None]:
    """Run all scenarios; return the failure of each, None if it passed."""
    return run_side_by_side(SCENARIOS, tmp_path_factory.mktemp("control-cli"))


@pytest.mark.parametrize("name", [scenario.__name__ for scenario in SCENARIOS])
def test_scenario(outcomes: dict[str, BaseException | None], name: str) -> None:
    """Checks one scenario of the command line against real processes; its docstring says what has to hold."""
    failure = outcomes[name]
    if failure is not None:
        raise failure
