"""One control process: reads its file, starts its parts and the operators' calls, and runs until SIGTERM.

An invalid file, or an address that cannot be bound, ends it with one line on standard error and exit code 2.
"""

from __future__ import annotations

import signal
import sys
from dataclasses import replace

import trio

from merlinbay.control_service.local_peer import LocalPeer
from merlinbay.control_service.operator_calls import OperatorCalls
from merlinbay.control_service.settings import ControlFile, load_keys, read
from merlinbay.control_service.wiring import ProcessParts, follower_parts, relay_parts, voter_parts
from merlinbay.counters import Counters
from merlinbay.errors import ConfigurationError, parse_address
from merlinbay.http.routes import Routes
from merlinbay.http.server import Listener
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

# A request body holds a value of at most 64 KiB, which grows when it is escaped.
CALL_LIMITS = replace(ResourceLimits(), body_bytes=256 * 1024, client_connections=128)
SHUTDOWN_S = 1.0  # time after SIGTERM to elect a new leader and to move followers elsewhere


async def run(file: ControlFile, counters: Counters, log: Log) -> None:
    """Run one process until SIGTERM or SIGINT. Raises ``ConfigurationError``."""
    local_peer = LocalPeer(file.name, file.role(), file.fleet, load_keys(file.keys), file.bind_address())
    async with trio.open_nursery() as nursery:
        if file.voter is not None:
            parts = await voter_parts(file, file.voter, local_peer, log)
        elif file.relay is not None:
            parts = await relay_parts(file, local_peer, nursery)
        else:
            parts = follower_parts(file, local_peer, nursery)
        await _serve_calls(file, parts.calls, counters, log, nursery)
        parts.start(nursery)
        log.event("control_serves", role=file.role(), at=file.listen, machine=file.name)
        await _handle_signals(file, parts, counters, log)
        nursery.cancel_scope.cancel()


async def _serve_calls(
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


async def _handle_signals(file: ControlFile, parts: ProcessParts, counters: Counters, log: Log) -> None:
    """Reload the keys on SIGHUP, print the counters on SIGUSR1; return after SIGTERM or SIGINT."""
    handled_signals = signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT
    with trio.open_signal_receiver(*handled_signals) as signals:
        async for number in signals:
            if number == signal.SIGUSR1:
                _print_counters(file, parts, counters)
            elif number == signal.SIGHUP:
                _reload_keys(file, parts.local_peer, log)
            else:
                log.event("control_stops", machine=file.name)
                parts.leave()
                await trio.sleep(SHUTDOWN_S)
                _print_counters(file, parts, counters)
                return


def _print_counters(file: ControlFile, parts: ProcessParts, counters: Counters) -> None:
    for name, value in parts.calls.status().counters.items():
        counters.counts[f"control_{file.role()}_{name}"] = value
    counters.print()


def _reload_keys(file: ControlFile, local_peer: LocalPeer, log: Log) -> None:
    try:
        local_peer.keys = load_keys(file.keys)
    except ConfigurationError as error:
        log.event("control_keys_failed", level="error", error=str(error))


def make_log(file: ControlFile) -> Log:
    """Return the event log that the file configures."""
    if file.log.format == "plain":
        return Log(file.log.lines)
    from merlinbay.event_log import EventLog

    return EventLog(file.log.lines, file.log.format, file.log.level, file.name)


def serve(path: str, role: str = "") -> int:
    """Run the process of a file; return the exit code, 2 if the file is invalid.

    ``role`` is the role that the file must describe; empty accepts any.
    """
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
        configuration_errors, rest = group.split(ConfigurationError)
        if configuration_errors is None or rest is not None:
            raise
        print(f"merlinbay: {path}: {_first_error(configuration_errors)}", file=sys.stderr)
        return 2
    return 0


def _first_error(group: BaseExceptionGroup[ConfigurationError]) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
