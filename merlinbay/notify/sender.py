"""Makes the call-backs: one task each, signed, on kept connections of their own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import trio

from merlinbay.clock import Clock
from merlinbay.counters import Counters
from merlinbay.http.client import ConnectionBrokenError, Reply, RequestNotSentError
from merlinbay.http.pool import ConnectionPool, OutgoingRequest, PooledServer
from merlinbay.limits import ResourceLimits
from merlinbay.log import Log
from merlinbay.notify import signing
from merlinbay.notify.listeners import Batch, Listeners

KEPT_MOST = 64  # addresses whose connections are kept


class AddressPool(ConnectionPool):
    """Connections by address, to whom they may be."""

    async def exchange(self, name: str, request: OutgoingRequest) -> Reply:
        """Have one exchange with the address ``name``."""
        if name not in self.servers:
            for addr in [addr for addr, server in self.servers.items() if not server.idle_connections][:8]:
                del self.servers[addr]
            if len(self.servers) >= KEPT_MOST:
                self._drop_idle(self.servers.pop(next(iter(self.servers))))
            self.servers[name] = PooledServer(name)
        return await super().exchange(name, request)


class Sender:
    """Carries call-backs out and tells the listeners' book what came of them."""

    def __init__(
        self,
        listeners: Listeners,
        write: Callable[[Batch], bytes],
        flush: Callable[[int], None],
        clock: Clock,
        limits: ResourceLimits,
        counters: Counters,
        log: Log,
        timeout: float,
    ) -> None:
        self.listeners, self.write, self.flush = listeners, write, flush
        self.clock, self.counters, self.log, self.timeout = clock, counters, log, timeout
        most = listeners.bounds.quick + listeners.bounds.trial
        # No rest between: listeners get many batches a second, and a wrong answer costs one told twice.
        self.limits = replace(
            limits, server_connections=max(most, 2), dial=min(1.0, timeout), pool_idle=4.0, pool_rest=0.0
        )
        self.pool = AddressPool(self.limits, Counters())
        self.nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Make call-backs until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.pool.sweep)
            await trio.sleep_forever()

    def send(self, batch: Batch) -> None:
        """Make one call-back."""
        if self.nursery is None:
            raise RuntimeError("the sender does not run yet")
        self.nursery.start_soon(self._send, batch)

    async def _send(self, batch: Batch) -> None:
        body, began = self.write(batch), self.clock.now_us()
        heads = [
            ("content-type", "application/json"),
            *signing.headers(batch.keys, batch.name, began // 1_000_000, body),
        ]
        target, why, reply = batch.listener.target, "", None
        try:
            with trio.fail_after(self.timeout):
                reply = await self.pool.exchange(
                    target.addr, OutgoingRequest("POST", target.path, heads, body)
                )
        except trio.TooSlowError:
            why = f"no answer within {self.timeout:g} s"
        except (RequestNotSentError, ConnectionBrokenError) as error:
            why = str(error)[:200]
        except Exception as error:  # Guards against a listener whose answer ends the node.
            why = repr(error)[:200]
            self.log.event("call_back_faulty", level="error", error=why)
        now = self.clock.now_us()
        if reply is not None and 200 <= reply.status < 300:
            self.counters.add("events_delivered", len(batch.entries))
            self.counters.add("events_missed", batch.missed)
            self.listeners.delivered(batch, now - began, now)
        else:
            self.counters.add("call_backs_failed")
            gone, wait_us = False, 0
            if reply is not None:  # a redirection is not followed: it could lead anywhere
                why, gone = f"status {reply.status}", reply.status == 410
                wait_us = seconds_us(reply.headers.get("retry-after", ""))
            before = self.listeners.dropped
            self.listeners.failed(batch, why, now, wait_us, gone)
            if self.listeners.dropped > before:
                self.counters.add("listeners_dropped")
                self.log.event("listener_dropped", level="warning", listener=batch.listener.id, why=why)
        self.flush(now)


def seconds_us(text: str) -> int:
    """Read a ``Retry-After`` in seconds; anything else is none."""
    return int(text) * 1_000_000 if text.isdigit() and len(text) < 7 else 0
