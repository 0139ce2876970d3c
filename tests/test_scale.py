"""Scale runs: what a plan may say, limits, arithmetic of the meters, the sockets, and a tiny run."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from random import Random

import msgspec
import pytest
import trio

from merlinbay.fleet.members import Health
from merlinbay.fleet.settings import FleetSettings
from merlinbay.fleet.view import View, initial_state
from merlinbay.fleet.wire import Keys
from merlinbay.scale import calibration, meters, plan, schedule
from merlinbay.scale.layout import address_of, delay_s, layout, number_of
from merlinbay.scale.limits import unfit
from merlinbay.scale.membership import members_alive
from merlinbay.scale.meters import ProcessReading, Traffic
from merlinbay.scale.registry import NAMES
from merlinbay.scale.results import RoleMeasurement, ScaleRun
from merlinbay.scale.roles import MemberNeed
from merlinbay.scale.sockets import CURRENT, MemberSockets, MeteredNetwork
from tests.net import ROOT

ROLE = '[[role]]\nrole = "view-member"\n'
GOOD = f'name = "a"\nsizes = [10, 20]\n{ROLE}'
MIB = 1024 * 1024


@pytest.mark.parametrize(
    ("text", "cause"),
    [
        ("sizes = [", "Invalid value"),
        (f'name = "a"\nsizes = []\n{ROLE}', "$.sizes"),
        (f'name = "a"\nsizes = [0]\n{ROLE}', "$.sizes[0]"),
        ('name = "a"\nsizes = [5]', "`role`"),
        (GOOD.replace("view-member", "view"), "role[0].role: 'view'"),
        (GOOD + ROLE, "role: only one may leave members out"),
        (GOOD + ROLE + "members = 3\n", "role: each role once"),
        (GOOD + "[limits]\nmemory_mib = 12289\n", "$.limits.memory_mib"),
        (GOOD + "[limits]\nprocesses = 301\n", "$.limits.processes"),
        (GOOD + "real = 10\n", "role[0].real: not less"),
        (GOOD + "[topology]\nregions = 3\n", "topology.zones: fewer than regions"),
        (GOOD + "[disturbances]\nfailures = 3\n", "`failures`"),
        (GOOD + '[calibration]\nrole = "x"\n', "calibration.role: 'x'"),
        (GOOD + '[calibration]\nrole = "view-member"\nsize = 8\nreal = 8\n', "calibration.real"),
        (GOOD.replace("[10", "[1").replace(ROLE, ROLE + "members = 3\n"), "sizes: 1 is less"),
    ],
)
def test_a_bad_plan_is_one_line_with_file_key_and_cause(text: str, cause: str) -> None:
    """Whatever is wrong with it."""
    with pytest.raises(plan.ScalePlanError) as caught:
        plan.read(text, "some.toml", NAMES)
    said = str(caught.value)
    assert said.startswith("some.toml: ") and cause in said and len(said.splitlines()) == 1


def test_the_librarys_plans_can_be_read_and_a_missing_one_is_named() -> None:
    """Those that come with the program."""
    assert {plan.load(name, NAMES).name for name in plan.library()} == set(plan.library())
    with pytest.raises(
        plan.ScalePlanError, match=r"nowhere.toml: No such file or directory; in the library: "
    ):
        plan.load("nowhere.toml", NAMES)


@pytest.mark.parametrize(
    ("limits", "need", "why"),
    [
        ("", MemberNeed(MIB), ""),
        ("processes = 4", MemberNeed(MIB), "size 20: 5 processes, over limits.processes = 4"),
        ("memory_mib = 100", MemberNeed(0), "size 20: some 180 MiB, over limits.memory_mib = 100"),
        ("memory_mib = 1000", MemberNeed(0, 2 * MIB), ""),
        ("memory_mib = 1000", MemberNeed(MIB, 2.1 * MIB), "size 20: some 1040 MiB, over limits"),
        ("cores = 1", MemberNeed(0, 0, 0.01, 0.0025), "size 20: some 1.2 cores, over limits.cores = 1"),
    ],
)
def test_a_size_that_does_not_fit_is_one_line(limits: str, need: MemberNeed, why: str) -> None:
    """By processes, memory and cores; a member's part that grows with the others counts at each size."""
    found = plan.read(GOOD + "members_per_process = 5\n[limits]\n" + limits, "some.toml")
    said = unfit(found, 20, {}, {"view-member": need})
    assert said.startswith(why) and bool(said) == bool(why) and "\n" not in said


def test_members_have_addresses_zones_and_processes_of_their_own() -> None:
    """No address twice, each member in one process, real ones alone; delays by zone and region."""
    text = GOOD + "members_per_process = 4\n[topology]\nregions = 2\nzones = 4\n"
    found = plan.read(text + "same_zone_ms = 1\nsame_region_ms = 2\nbetween_regions_ms = 30\n", "some.toml")
    hollow, alone = layout(found, 10, {"view-member": 3})
    assert alone == {"view-member": [7, 8, 9]}
    assert sorted(number for one in hollow for number in one.numbers) == list(range(7))
    assert max(len(one.numbers) for one in hollow) <= 4
    addresses = [address_of(77, number) for number in range(2500)]
    assert len(set(addresses)) == 2500 and [number_of(one) for one in addresses] == list(range(2500))
    assert all(0 < int(part) < 255 for one in addresses for part in one.split("."))
    delays = [delay_s(found.topology, 0, other) for other in (4, 2, 1, 3)]
    assert delays == [0.001, 0.002, 0.03, 0.03]


def test_disturbances_come_at_the_plans_rate_and_to_nobody_twice() -> None:
    """The count follows from the rate, not from the draw."""
    text = GOOD + "[disturbances]\nfailures_a_day = 864\nrestarts_a_day = 1728\nrate_factor = 10\n"
    found = plan.read(text, "some.toml")
    events = schedule.schedule(found, list(range(50)), 60.0)
    kinds = [event.kind for event in events]
    assert (
        kinds.count(schedule.DisturbanceKind.FAIL) == 6
        and kinds.count(schedule.DisturbanceKind.RESTART) == 12
    )
    assert len({event.number for event in events}) == len(events)
    assert all(0 <= event.at_s <= 60 for event in events)
    assert events == schedule.schedule(found, list(range(50)), 60.0)


def reading(at: float, cpu_s: float, memory: int, members: int) -> ProcessReading:
    """Return a process that began with 30 MiB."""
    return ProcessReading(at, cpu_s, memory * MIB, members, 30 * MIB)


def test_a_row_is_the_processes_less_an_empty_ones_over_their_members() -> None:
    """Bytes a member and second, the busiest one, processor time, growth of memory, percentiles."""
    pairs = [
        (reading(0, 1, 30, 3), reading(10, 2, 33, 3)),
        (reading(0, 1, 30, 1), reading(10, 1.2, 31, 1)),
    ]
    traffic = [Traffic(100, 50, 10, 5), Traffic(300, 150, 30, 15)]
    times = {"death": [0.1] * 998 + [1.0, 5.0], "none": []}
    found = meters.row("r", 4, True, traffic, pairs, 0.01, 10.0, times, {"deaths": 2})
    assert (found.members, found.bytes_sent_per_s, found.bytes_received_per_s) == (4, 20, 10)
    assert (found.messages_sent_per_s, found.messages_received_per_s) == (2, 1)
    assert found.busiest_bytes_sent_per_s == 30
    assert found.cpu_share == pytest.approx((0.1 + 0.02 - 2 * 0.01) / 4)
    assert (found.memory_bytes, found.base_memory_bytes) == (MIB, 30 * MIB)
    assert set(found.times) == {"death"} and found.times["death"].count == 1000
    assert found.times["death"].p50 == pytest.approx(0.1, rel=0.001)
    assert found.times["death"].p999 == pytest.approx(1.0, rel=0.001) and found.times["death"].most == 5.0
    assert Traffic(5, 4, 3, 2).since(Traffic(1, 1, 1, 1)).times(2) == Traffic(8, 6, 4, 2)


def test_hollow_figures_off_by_over_15_percent_are_marked_or_multiplied() -> None:
    """A quantity that was not measured for the real one counts as off."""
    hollow = RoleMeasurement("r", 9, 9, True, 1.0, 100.0, 100.0, 10.0, 10.0, 0.01, 0.0, 1000, 200.0)
    real = msgspec.structs.replace(
        hollow, hollow=False, bytes_sent_per_s=114.0, cpu_share=0.02, memory_bytes=0
    )
    ratios = calibration.ratios(real, hollow)
    assert calibration.unusable(ratios) == ("cpu_share", "memory_bytes")
    marked = calibration.calibrated(hollow, ratios, False)
    assert marked.unusable == ("cpu_share", "memory_bytes") and marked.cpu_share == 0.01
    applied = calibration.calibrated(hollow, ratios, True)
    assert applied.ratios_applied and applied.unusable == ("memory_bytes",)
    assert applied.cpu_share == 0.02 and applied.busiest_bytes_sent_per_s == pytest.approx(228.0)
    assert calibration.calibrated(real, ratios, True) == real
    assert "cpu_share real / hollow = 2.000, NOT USABLE" in calibration.lines("r", ratios, False)[4]


def test_a_view_is_at_rest_when_nobody_is_suspected() -> None:
    """A suspect is still there, but a run that began now would measure its refutation."""
    view = View(FleetSettings(), Keys((b"k" * 16,)), initial_state("n0", "a:1", "", 1, 1, {}), Random(1), 0.0)
    other = initial_state("n1", "a:2", "", 1, 2, {})
    view.table.merge(other)
    assert members_alive(view) == 2
    view.table.merge(replace(other, health=Health.SUSPECT, accuser="n0"))
    assert len(view.table.active()) == 2 and members_alive(view) == 0


def test_sockets_count_delay_in_order_and_end_with_their_member() -> None:
    """A stream and datagrams between two members a delay apart; what is closed at once still comes."""
    topology = plan.Topology(regions=2, zones=2, between_regions_ms=5)
    net = 93

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            network = MeteredNetwork(net, topology, frozenset(), nursery)
            trio.socket.set_custom_socket_factory(network)
            nursery.start_soon(network.run)
            ends = [MemberSockets(number, address_of(net, number), number) for number in (0, 1)]
            CURRENT.set(ends[0])
            server, udp = trio.socket.socket(), trio.socket.socket(type=trio.socket.SOCK_DGRAM)
            await server.bind((ends[0].address, 0))
            await udp.bind((ends[0].address, 0))
            server.listen(1)
            CURRENT.set(ends[1])
            client, other = trio.socket.socket(), trio.socket.socket(type=trio.socket.SOCK_DGRAM)
            await other.bind((ends[1].address, 0))
            began = trio.current_time()
            await other.sendto(b"first", udp.getsockname())
            await other.sendto(b"second", udp.getsockname())
            got = [(await udp.recvfrom(100))[0] for _ in range(2)]
            assert got == [b"first", b"second"] and trio.current_time() - began >= 0.005
            await client.connect(server.getsockname())
            taken, source = await server.accept()
            assert source[0] == ends[1].address
            stream = trio.SocketStream(client)
            for part in (b"one ", b"two ", b"three"):
                await stream.send_all(part)
            await stream.aclose()
            found = b""
            while data := await taken.recv(100):
                found += data
            assert found == b"one two three"
            assert (ends[1].traffic.bytes_sent, ends[1].traffic.messages_sent) == (24, 5)
            assert (ends[0].traffic.bytes_received, ends[0].traffic.bytes_sent) == (24, 0)
            ends[0].close()
            assert server.fileno() == udp.fileno() == taken.fileno() == -1
            nursery.cancel_scope.cancel()

    trio.run(play)


def start(out: Path, *words: str) -> subprocess.Popen[str]:
    """Start a run."""
    line = [sys.executable, "-B", "-m", "merlinbay", "scale", "run", *words, "--out", str(out)]
    return subprocess.Popen(line, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return where the runs write."""
    return tmp_path_factory.mktemp("scale")


@pytest.fixture(scope="module")
def runs(folder: Path) -> Iterator[dict[str, subprocess.Popen[str]]]:
    """Start the tiny runs side by side."""
    found = {name: start(folder / f"{name}.json", name) for name in ("tiny", "tiny-control")}
    yield found
    for process in found.values():
        if process.poll() is None:
            process.terminate()
            process.wait()


def results(folder: Path, runs: dict[str, subprocess.Popen[str]], name: str) -> ScaleRun:
    """Wait for a run and return its results."""
    said = "".join(runs[name].communicate(timeout=300))
    assert runs[name].returncode == 0, said
    return msgspec.json.decode((folder / f"{name}.json").read_bytes(), type=ScaleRun)


def test_a_tiny_run_writes_its_results(folder: Path, runs: dict[str, subprocess.Popen[str]]) -> None:
    """Six hollow members come to see each other, one dies and the five others all tell so."""
    found = results(folder, runs, "tiny")
    (row,) = found.rows
    assert (found.plan, found.incomplete, row.role, row.size) == ("tiny", "", "view-member", 6)
    assert row.hollow and row.members == 5 and row.bytes_sent_per_s > 0 and row.messages_received_per_s > 0
    assert row.times["death_detected"].count == 5 and row.counts["deaths"] == 1
    assert row.counts["busiest_bytes_for_death"] > 0


def test_a_run_that_does_not_fit_starts_nothing(tmp_path: Path) -> None:
    """One line for the size, and no results."""
    out = tmp_path / "tiny.json"
    process = start(out, "tiny", "--memory-mib", "64")
    said = process.communicate(timeout=100)[1]
    assert process.returncode == 2 and len(said.splitlines()) == 1
    assert "size 6: some " in said and not out.exists()


def test_changes_of_a_tiny_control_plane_are_in_force_at_all_followers(
    folder: Path, runs: dict[str, subprocess.Popen[str]]
) -> None:
    """Nine changes, with the leader killed among them: none is missing at any of four followers."""
    rows = {row.role: row for row in results(folder, runs, "tiny-control").rows}
    assert [rows[role].hollow for role in ("control-voter", "control-relay", "control-follower")] == [
        False,
        False,
        True,
    ]
    counts = rows["control-follower"].counts
    assert (counts["changes"], counts["leaders_killed"], counts["time_to_force_missing"]) == (9, 1, 0)
    assert rows["control-follower"].times["time_to_force"].count == 4 * 9
    assert rows["control-voter"].times["time_to_commit"].count == 9
