"""Where operators call: one line a connection, one line back."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from merlinbay.core.messages import MaintenanceRequested, Message
from merlinbay.counters import Counters
from merlinbay.http.client_steering import ClientSteering
from merlinbay.http.sockets import send_all
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log

Call = Callable[[str], Awaitable[str]]  # takes what follows the call's word, returns why not, or nothing


class AdminListener:
    """Answers operators' calls."""

    def __init__(
        self,
        inbox: trio.MemorySendChannel[Message],
        client_steering: ClientSteering,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
    ) -> None:
        self.inbox, self.client_steering, self.limits = inbox, client_steering, limits
        self.counters, self.log = counters, log
        self.serving = False  # set once clients are taken
        self.waiting: dict[trio.CancelScope, None] = {}  # connections without a whole line yet, oldest first
        self.calls: dict[str, tuple[bool, Call]] = {  # whether an id belongs to it, and what it does
            "status": (False, self._status),
            "standby": (False, self._standby),
            "active": (False, self._active),
            "maint-on": (True, self._maint_on),
            "maint-off": (True, self._maint_off),
        }

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Accept until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    accepted, _ = await sock.accept()
                except OSError:  # Guards against running out of descriptors: the listener must outlive it.
                    self.counters.add("admin_accepts_failed")
                    await trio.sleep(self.limits.accept_pause)
                    continue
                if len(self.waiting) >= self.limits.admin_connections:
                    # Guards against callers that stay without a word and would keep others from being heard.
                    longest = next(iter(self.waiting))
                    del self.waiting[longest]
                    longest.cancel()
                nursery.start_soon(self._answer, accepted)

    async def _answer(self, sock: trio.socket.SocketType) -> None:
        with sock, trio.move_on_after(self.limits.admin_call) as scope:
            self.waiting[scope] = None
            try:
                line = await self._line(sock)
                self.waiting.pop(scope, None)
                if line is not None:
                    await send_all(sock, (await self.answer(line)).encode() + b"\n")
            except OSError:
                pass
            finally:
                self.waiting.pop(scope, None)

    async def _line(self, sock: trio.socket.SocketType) -> bytes | None:
        """Return the one line, which the end of what the caller sends ends too; None: there is none."""
        data, left = b"", self.limits.linger_bytes
        while left > 0 and (more := await sock.recv(self.limits.receive_bytes)):
            left -= len(more)
            # Guards against a reset that overtakes the answer: a line that is too long is read to its end.
            data = (data + more)[: self.limits.admin_line + 1]
            if b"\n" in more:
                return b"" if len(data) > self.limits.admin_line else data.partition(b"\n")[0]
        return data or None

    async def answer(self, line: bytes) -> str:
        """Carry out one call; return the line that answers it."""
        word, _, rest = line.decode("utf-8", "replace").strip().partition(" ")
        takes_id, call = self.calls.get(word, (False, None))
        rest = rest.strip()
        if call is None:
            why = "no such call"
        elif bool(rest) != takes_id or " " in rest:
            why = f"{word} takes {'one id' if takes_id else 'no id'}"
        else:
            why = await call(rest)
        self.counters.add("admin_refused" if why else "admin_calls")
        if word != "status" or why:
            self.log.event("operator_call", call=ascii(word)[:40], id=ascii(rest)[:80], refused=why or "no")
        return f"FAILURE {why}" if why else "SUCCESS"

    async def _status(self, _: str) -> str:
        return "" if self.serving else "not yet"

    async def _standby(self, _: str) -> str:
        self.client_steering.set_draining(True)
        return ""

    async def _active(self, _: str) -> str:
        self.client_steering.set_draining(False)
        return ""

    async def _maint_on(self, server: str) -> str:
        return await self._maintain(server, True)

    async def _maint_off(self, server: str) -> str:
        return await self._maintain(server, False)

    async def _maintain(self, server: str, on: bool) -> str:
        heard, known = trio.Event(), False

        def told(answer: bool) -> None:
            nonlocal known
            known = answer
            heard.set()

        await self.inbox.send(MaintenanceRequested(server, on, told))
        await heard.wait()
        return "" if known else "nobody has this id"
