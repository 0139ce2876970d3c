"""Sends events to listeners: a task for each batch, signed, on pooled connections of their own."""

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
from merlinbay.notify.listeners import CallbackBatch, ListenerTable

POOLED_ADDRESSES = 64
UNUSED_ADDRESSES_DROPPED = 8  # at once


class AddressPool(ConnectionPool):
    """Connections by address, which becomes known by its first request."""

    async def exchange(self, name: str, request: OutgoingRequest) -> Reply:
        """Send a request to the address ``name``."""
        if name not in self.servers:
            self._make_room_for_address()
            self.servers[name] = PooledServer(name)
        return await super().exchange(name, request)

    def _make_room_for_address(self) -> None:
        unused = [address for address, server in self.servers.items() if not server.idle_connections]
        for address in unused[:UNUSED_ADDRESSES_DROPPED]:
            del self.servers[address]
        if len(self.servers) >= POOLED_ADDRESSES:
            self._drop_idle(self.servers.pop(next(iter(self.servers))))


class CallbackSender:
    """Sends batches of events to listeners, and reports the results to ``ListenerTable``."""

    def __init__(
        self,
        listeners: ListenerTable,
        write: Callable[[CallbackBatch], bytes],
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
        # No quarantine: listeners get many batches a second, and a stray response costs one that is repeated.
        self.limits = replace(
            limits,
            server_connections=max(most, 2),
            connect_timeout_s=min(1.0, timeout),
            pool_idle_timeout_s=4.0,
            pool_reuse_pause_s=0.0,
        )
        self.pool = AddressPool(self.limits, Counters())
        self.nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Send batches until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.pool.sweep)
            await trio.sleep_forever()

    def send(self, batch: CallbackBatch) -> None:
        """Send one batch. Does not wait."""
        if self.nursery is None:
            raise RuntimeError("the sender does not run yet")
        self.nursery.start_soon(self._send, batch)

    async def _send(self, batch: CallbackBatch) -> None:
        body, began_at_us = self.write(batch), self.clock.now_us()
        headers = [
            ("content-type", "application/json"),
            *signing.headers(batch.keys, batch.name, began_at_us // 1_000_000, body),
        ]
        target = batch.listener.target
        reply, cause = await self._exchange(target.addr, OutgoingRequest("POST", target.path, headers, body))
        now_us = self.clock.now_us()
        if reply is not None and 200 <= reply.status < 300:
            self.counters.add("events_delivered", len(batch.entries))
            self.counters.add("events_missed", batch.missed)
            self.listeners.delivered(batch, now_us - began_at_us, now_us)
        else:
            self._report_failure(batch, reply, cause, now_us)
        self.flush(now_us)

    async def _exchange(self, address: str, request: OutgoingRequest) -> tuple[Reply | None, str]:
        """Return the response, or why there is none."""
        try:
            with trio.fail_after(self.timeout):
                return await self.pool.exchange(address, request), ""
        except trio.TooSlowError:
            return None, f"no answer within {self.timeout:g} s"
        except (RequestNotSentError, ConnectionBrokenError) as error:
            return None, str(error)[:200]
        except Exception as error:  # Guards against a listener whose answer ends the node.
            cause = repr(error)[:200]
            self.log.event("call_back_faulty", level="error", error=cause)
            return None, cause

    def _report_failure(self, batch: CallbackBatch, reply: Reply | None, cause: str, now_us: int) -> None:
        self.counters.add("call_backs_failed")
        is_gone, retry_after_us = False, 0
        if reply is not None:  # a redirection is not followed: it could lead anywhere
            cause, is_gone = f"status {reply.status}", reply.status == 410
            retry_after_us = seconds_us(reply.headers.get("retry-after", ""))
        dropped_before = self.listeners.dropped
        self.listeners.failed(batch, cause, now_us, retry_after_us, is_gone)
        if self.listeners.dropped > dropped_before:
            self.counters.add("listeners_dropped")
            self.log.event("listener_dropped", level="warning", listener=batch.listener.id, why=cause)


def seconds_us(text: str) -> int:
    """Return a ``Retry-After`` given in seconds; 0 for any other form."""
    return int(text) * 1_000_000 if text.isdigit() and len(text) < 7 else 0
