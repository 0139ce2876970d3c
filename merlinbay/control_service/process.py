"""One control process: reads its file, wires a host and the operators' calls, and runs until SIGTERM."""

from __future__ import annotations

import hashlib
import secrets
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

import trio

from merlinbay.control.consensus.settings import Placement, VoterSettings
from merlinbay.control.entries import StateSnapshot
from merlinbay.control.fanout.messages import Generation
from merlinbay.control.fanout.settings import FollowerSettings, RelaySettings, WatchServerSettings
from merlinbay.control.fanout.topology import Location
from merlinbay.control.voter import CorruptRecordsError
from merlinbay.control_service import status
from merlinbay.control_service.durable_log import CorruptLogError, DurableLog, NotDurableError
from merlinbay.control_service.follower_host import FollowerHost
from merlinbay.control_service.machines import Machines
from merlinbay.control_service.operator_calls import Entries, OperatorCalls, VoterCalls, entry
from merlinbay.control_service.relay_host import RelayHost
from merlinbay.control_service.settings import ControlFile, VoterSection, load_keys, read
from merlinbay.control_service.transport import Endpoint, listen_at
from merlinbay.control_service.voter_host import VoterHost
from merlinbay.counters import Counters
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.http.routes import Routes
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

LOG_NAME = "control.db"
CALL_LIMITS = replace(
    ResourceLimits(), body_bytes=256 * 1024, client_connections=128
)  # a value of 64 KiB, escaped
STOP_S = 1.0  # after SIGTERM, for a new leader to be chosen and followers to move


def make_random() -> Random:
    """Return a generator of a new seed."""
    return Random(secrets.randbits(64))


def generation(file: ControlFile, section: VoterSection) -> Generation:
    """Return the history that a voter serves: voters of one founding agree on it."""
    founders = ",".join(sorted(section.initial))
    log_id = hashlib.blake2b(f"{file.fleet}/{section.generation}/{founders}".encode(), digest_size=8)
    return Generation(section.generation, log_id.hexdigest())


def voter_settings(file: ControlFile, section: VoterSection) -> VoterSettings:
    """Return the core's settings."""
    return VoterSettings(
        initial_voters=tuple(section.initial),
        placements={name: Placement(one.region, one.zone) for name, one in file.machines.items()},
        election_timeout=section.election,
        heartbeat_interval=section.heartbeat,
        lease=section.election,
        compact_after_entries=section.compact_after,
        keep_entries=section.compact_after // 4,
        history_revisions=section.compact_after * 4,
    )


@dataclass(slots=True)
class Parts:
    """What one process consists of."""

    endpoint: Endpoint
    calls: OperatorCalls
    start: Callable[[trio.Nursery], None]
    leave: Callable[[], None]  # says that the process is going to end


class FollowingCalls(OperatorCalls):
    """The calls of a relay or follower: its own state, and the way to the voters."""

    def __init__(
        self,
        machines: Machines,
        view: Callable[[], status.ProcessStatus],
        state: Callable[[], StateSnapshot],
    ) -> None:
        super().__init__(machines)
        self._view, self._state = view, state

    def status(self) -> status.ProcessStatus:
        """Return the process's own view."""
        return self._view()

    async def keys(self) -> Entries:
        """Return all keys that this process has."""
        state = self._state()
        return Entries(state.revision, self._view().age_s, [entry(one) for one in state.entries])


class VotingCalls(VoterCalls):
    """The calls of a voter, with its status."""

    def __init__(self, host: VoterHost, machines: Machines, file: ControlFile) -> None:
        super().__init__(host, machines)
        self._file = file

    def status(self) -> status.ProcessStatus:
        """Return the process's own view."""
        operators = self.machines.operators(self.host.voter.voters)
        return status.voter_status(self.host, self._file.region, self._file.zone, operators)


async def voter_parts(file: ControlFile, section: VoterSection, endpoint: Endpoint, log: Log) -> Parts:
    """Wire a voter. Raises ``ConfigurationError``."""
    listening = await _listen(file)
    path = Path(section.data) / LOG_NAME
    try:
        path.parent.mkdir(exist_ok=True)
        durable = DurableLog(path, log)
    except OSError as error:
        raise ConfigurationError(f"voter.data: {section.data}: {error.strerror}") from None
    except (NotDurableError, CorruptLogError) as error:
        raise ConfigurationError(f"voter.data: {path}: {error}") from None
    machines = Machines(file.machines)
    try:
        host = VoterHost(
            endpoint,
            voter_settings(file, section),
            durable,
            machines.address_of,
            generation(file, section),
            WatchServerSettings(),
            make_random,
            log,
        )
    except (CorruptRecordsError, CorruptLogError) as error:
        raise ConfigurationError(f"voter.data: {path}: {error}") from None
    machines.get = lambda key: host.watches.store.current.get(key)

    def leave() -> None:
        host.transfer_leadership()
        host.watches.drain()

    calls = VotingCalls(host, machines, file)
    return Parts(endpoint, calls, lambda nursery: nursery.start_soon(host.run, listening), leave)


async def relay_parts(file: ControlFile, endpoint: Endpoint, nursery: trio.Nursery) -> Parts:
    """Wire a relay. Raises ``ConfigurationError``."""
    assert file.relay is not None
    listening = await _listen(file)
    settings = RelaySettings(
        server=WatchServerSettings(coalesce=file.relay.coalesce, max_watches=file.relay.followers)
    )
    upstreams = file.watched()
    tier = 1 + max(one.tier for one in upstreams)
    others = [name for name, one in file.machines.items() if one.tier == tier and name != file.name]
    host = RelayHost(
        endpoint,
        Location(file.region, file.zone),
        upstreams,
        settings,
        make_random(),
        nursery,
        tier=tier,
        others=others,
    )
    machines = Machines(file.machines, host.core.follower.get)
    calls = FollowingCalls(
        machines,
        lambda: status.relay_status(host, file.region, file.zone, machines.operators()),
        host.core.follower.snapshot,
    )
    return Parts(endpoint, calls, lambda nursery: nursery.start_soon(host.run, listening), host.drain)


def follower_parts(file: ControlFile, endpoint: Endpoint, nursery: trio.Nursery) -> Parts:
    """Wire a follower."""
    host = FollowerHost(
        endpoint,
        Location(file.region, file.zone),
        file.watched(),
        FollowerSettings(),
        make_random(),
        nursery,
    )
    machines = Machines(file.machines, host.core.get)
    calls = FollowingCalls(
        machines,
        lambda: status.follower_status(host, file.region, file.zone, machines.operators()),
        host.core.snapshot,
    )
    return Parts(endpoint, calls, lambda nursery: host.start(), host.stop)


async def _listen(file: ControlFile) -> trio.socket.SocketType:
    try:
        return await listen_at(file.listen)
    except OSError as error:
        raise ConfigurationError(f"listen: cannot listen at {file.listen}: {error.strerror}") from None


async def run(file: ControlFile, counters: Counters, log: Log) -> None:
    """Run one process until SIGTERM or SIGINT. Raises ``ConfigurationError``."""
    endpoint = Endpoint(file.name, file.role(), file.fleet, load_keys(file.keys), file.bind_address())
    async with trio.open_nursery() as nursery:
        if file.voter is not None:
            parts = await voter_parts(file, file.voter, endpoint, log)
        elif file.relay is not None:
            parts = await relay_parts(file, endpoint, nursery)
        else:
            parts = follower_parts(file, endpoint, nursery)
        await _take_calls(file, parts.calls, counters, log, nursery)
        parts.start(nursery)
        log.event("control_serves", role=file.role(), at=file.listen, machine=file.name)
        await _signals(file, parts, counters, log)
        nursery.cancel_scope.cancel()


async def _take_calls(
    file: ControlFile, calls: OperatorCalls, counters: Counters, log: Log, nursery: trio.Nursery
) -> None:
    if not file.operator:
        return
    listener = Listener(Routes([("/control", calls)]), CALL_LIMITS, counters, log)
    host, port = parse_address(file.operator)
    try:
        sock = await listener.bind(host, port)
    except OSError as error:
        raise ConfigurationError(f"operator: cannot listen at {file.operator}: {error.strerror}") from None
    await nursery.start(listener.serve, sock)


async def _signals(file: ControlFile, parts: Parts, counters: Counters, log: Log) -> None:
    """SIGHUP reads the keys again, SIGUSR1 prints the counters; return after SIGTERM or SIGINT."""
    taken = signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT
    with trio.open_signal_receiver(*taken) as signals:
        async for number in signals:
            if number == signal.SIGUSR1:
                _print_counters(file, parts, counters)
            elif number == signal.SIGHUP:
                _reload_keys(file, parts.endpoint, log)
            else:
                log.event("control_stops", machine=file.name)
                parts.leave()
                await trio.sleep(STOP_S)
                _print_counters(file, parts, counters)
                return


def _print_counters(file: ControlFile, parts: Parts, counters: Counters) -> None:
    for name, value in parts.calls.status().counters.items():
        counters.counts[f"control_{file.role()}_{name}"] = value
    counters.print()


def _reload_keys(file: ControlFile, endpoint: Endpoint, log: Log) -> None:
    try:
        endpoint.keys = load_keys(file.keys)
    except ConfigurationError as error:
        log.event("control_keys_failed", level="error", error=str(error))


def make_log(file: ControlFile) -> Log:
    """Return the log that the file asks for."""
    if file.log.format == "plain":
        return Log(file.log.lines)
    from merlinbay.event_log import EventLog

    return EventLog(file.log.lines, file.log.format, file.log.level, file.name)


def serve(path: str, role: str = "") -> int:
    """Run the process of a file; a bad file ends with one plain line. ``role``: which one is expected."""
    counters = Counters()
    try:
        file = read(path)
        if role and file.role() != role:
            raise ConfigurationError(f"{path}: describes a {file.role()}, not a {role}")
        trio.run(run, file, counters, make_log(file))
    except ConfigurationError as error:
        text = str(error)
        print(f"merlinbay: {text if text.startswith(path) else f'{path}: {text}'}", file=sys.stderr)
        return 2
    except BaseExceptionGroup as group:
        bad, rest = group.split(ConfigurationError)
        if bad is None or rest is not None:
            raise
        print(f"merlinbay: {path}: {_first(bad)}", file=sys.stderr)
        return 2
    return 0


def _first(group: BaseExceptionGroup[ConfigurationError]) -> BaseException:
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
