"""The listener for operators' commands: each connection carries one command line and one line in reply.

It is served for as long as the node runs. Maintenance commands go to the dispatcher as messages; standby
commands go to ``ClientSteering``. A reply is ``SUCCESS``, or ``FAILURE`` and the reason. A connection that
takes too long is closed without a reply, and so is the oldest incomplete one if there are too many.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from merlinbay.core.messages import MaintenanceRequested, Message
from merlinbay.counters import Counters
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.sockets import send_all
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log


@dataclass(frozen=True)
class Command:
    """An operator's command."""

    takes_id: bool
    # Takes the id; returns the reason of a failure, or an empty string on success.
    handler: Callable[[str], Awaitable[str]]


class AdminListener:
    """Accepts operators' connections and executes their commands."""

    def __init__(
        self,
        inbox: trio.MemorySendChannel[Message],
        steering: ClientSteering,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
    ) -> None:
        self.inbox, self.steering, self.limits = inbox, steering, limits
        self.counters, self.log = counters, log
        self.is_serving = False  # set once the node serves clients
        # Cancel scopes of the connections whose command line is incomplete, oldest first.
        self.reading: dict[trio.CancelScope, None] = {}
        self.commands = {
            "status": Command(False, self._status),
            "standby": Command(False, self._standby),
            "active": Command(False, self._active),
            "maint-on": Command(True, self._maint_on),
            "maint-off": Command(True, self._maint_off),
        }

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Accept connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    accepted, _ = await sock.accept()
                except OSError:  # The listener must survive a lack of file descriptors.
                    self.counters.add("admin_accepts_failed")
                    await trio.sleep(self.limits.accept_retry_pause_s)
                    continue
                if len(self.reading) >= self.limits.admin_connections:
                    # Closes the connection whose line has been incomplete the longest, so that silent callers
                    # do not keep others from being served.
                    oldest = next(iter(self.reading))
                    del self.reading[oldest]
                    oldest.cancel()
                nursery.start_soon(self._serve_caller, accepted)

    async def _serve_caller(self, sock: trio.socket.SocketType) -> None:
        with sock, trio.move_on_after(self.limits.admin_call_timeout_s) as scope:
            self.reading[scope] = None
            try:
                line = await self._read_line(sock)
                self.reading.pop(scope, None)
                if line is not None:
                    await send_all(sock, (await self.answer(line)).encode() + b"\n")
            except OSError:
                pass
            finally:
                self.reading.pop(scope, None)

    async def _read_line(self, sock: trio.socket.SocketType) -> bytes | None:
        """Return the command line, which may end with the stream, or None if nothing was sent.

        A line that is too long is returned empty, or cut off if no end of line was read.
        """
        data, remaining_bytes = b"", self.limits.linger_bytes
        while remaining_bytes > 0 and (chunk := await sock.recv(self.limits.receive_bytes)):
            remaining_bytes -= len(chunk)
            # A line that is too long is read to its end: closing with unread data would reset the connection,
            # and the reset could overtake the reply.
            data = (data + chunk)[: self.limits.admin_line_bytes + 1]
            if b"\n" in chunk:
                return b"" if len(data) > self.limits.admin_line_bytes else data.partition(b"\n")[0]
        return data or None

    async def answer(self, line: bytes) -> str:
        """Execute the command of one line, and return the reply line."""
        name, _, server = line.decode("utf-8", "replace").strip().partition(" ")
        server = server.strip()
        command = self.commands.get(name)
        if command is None:
            failure = "no such call"
        elif bool(server) != command.takes_id or " " in server:
            failure = f"{name} takes {'one id' if command.takes_id else 'no id'}"
        else:
            failure = await command.handler(server)
        self.counters.add("admin_refused" if failure else "admin_calls")
        if name != "status" or failure:
            self.log.event(
                "operator_call", call=ascii(name)[:40], id=ascii(server)[:80], refused=failure or "no"
            )
        return f"FAILURE {failure}" if failure else "SUCCESS"

    async def _status(self, _: str) -> str:
        return "" if self.is_serving else "not yet"

    async def _standby(self, _: str) -> str:
        self.steering.set_draining(True)
        return ""

    async def _active(self, _: str) -> str:
        self.steering.set_draining(False)
        return ""

    async def _maint_on(self, server: str) -> str:
        return await self._set_maintenance(server, True)

    async def _maint_off(self, server: str) -> str:
        return await self._set_maintenance(server, False)

    async def _set_maintenance(self, server: str, on: bool) -> str:
        replied, is_known = trio.Event(), False

        def on_reply(reply: bool) -> None:
            nonlocal is_known
            is_known = reply
            replied.set()

        await self.inbox.send(MaintenanceRequested(server, on, on_reply))
        await replied.wait()
        return "" if is_known else "nobody has this id"
