"""The operators' listener: one line with a command a connection, one line in answer."""

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
    """A command of operators."""

    takes_id: bool
    carry_out: Callable[[str], Awaitable[str]]  # takes the id; returns the failure's cause, empty on success


class AdminListener:
    """Carries out operators' commands."""

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
        self.is_serving = False  # set once clients are served
        self.waiting: dict[trio.CancelScope, None] = {}  # connections whose line is incomplete, oldest first
        self.commands = {
            "status": Command(False, self._status),
            "standby": Command(False, self._standby),
            "active": Command(False, self._active),
            "maint-on": Command(True, self._maint_on),
            "maint-off": Command(True, self._maint_off),
        }

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Accept until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    accepted, _ = await sock.accept()
                except OSError:  # Guards against running out of descriptors: the listener must outlive it.
                    self.counters.add("admin_accepts_failed")
                    await trio.sleep(self.limits.accept_retry_pause_s)
                    continue
                if len(self.waiting) >= self.limits.admin_connections:
                    # Guards against silent callers that keep others from being served.
                    oldest = next(iter(self.waiting))
                    del self.waiting[oldest]
                    oldest.cancel()
                nursery.start_soon(self._serve_caller, accepted)

    async def _serve_caller(self, sock: trio.socket.SocketType) -> None:
        with sock, trio.move_on_after(self.limits.admin_call_timeout_s) as scope:
            self.waiting[scope] = None
            try:
                line = await self._read_line(sock)
                self.waiting.pop(scope, None)
                if line is not None:
                    await send_all(sock, (await self.answer(line)).encode() + b"\n")
            except OSError:
                pass
            finally:
                self.waiting.pop(scope, None)

    async def _read_line(self, sock: trio.socket.SocketType) -> bytes | None:
        """Return the line, which the end of the stream ends as well; None: nothing was sent."""
        data, may_read = b"", self.limits.linger_bytes
        while may_read > 0 and (more := await sock.recv(self.limits.receive_bytes)):
            may_read -= len(more)
            # Guards against a reset that overtakes the answer: a line that is too long is read to its end.
            data = (data + more)[: self.limits.admin_line_bytes + 1]
            if b"\n" in more:
                return b"" if len(data) > self.limits.admin_line_bytes else data.partition(b"\n")[0]
        return data or None

    async def answer(self, line: bytes) -> str:
        """Carry out the command of one line; return the line that answers it."""
        name, _, server = line.decode("utf-8", "replace").strip().partition(" ")
        server = server.strip()
        command = self.commands.get(name)
        if command is None:
            failure = "no such call"
        elif bool(server) != command.takes_id or " " in server:
            failure = f"{name} takes {'one id' if command.takes_id else 'no id'}"
        else:
            failure = await command.carry_out(server)
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
        is_done, is_known = trio.Event(), False

        def on_answer(answer: bool) -> None:
            nonlocal is_known
            is_known = answer
            is_done.set()

        await self.inbox.send(MaintenanceRequested(server, on, on_answer))
        await is_done.wait()
        return "" if is_known else "nobody has this id"
