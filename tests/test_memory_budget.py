"""Which messages are given up when memory is short, and who waits meanwhile."""

from __future__ import annotations

import gc
import weakref
from dataclasses import dataclass

import pytest
import trio

from merlinbay.http.memory_budget import FULL_AT, SMALL_MESSAGE_BYTES, WAIT_FOR_ROOM_S, MemoryBudget
from merlinbay.platform.client_adapter import CALLBACK_PATH, is_callback
from tests.net import run_scenario
from tests.slow_clients import request_head
from tests.test_crossings import listener_harness, wait_until

LIMIT_BYTES = 100_000


@dataclass(eq=False)
class Member:
    """A connection that holds bytes."""

    budget: MemoryBudget
    held_bytes: int = 0
    is_complete: bool = False
    was_released: bool = False

    def hold(self, held_bytes: int) -> None:
        """Hold so many bytes from now on."""
        self.held_bytes = held_bytes
        self.budget.set_held(self, held_bytes)

    def releasable_bytes(self) -> int:
        """Return what an incomplete message takes."""
        return 0 if self.is_complete else self.held_bytes

    def release_memory(self) -> None:
        """Give the message up."""
        self.was_released = True
        self.hold(0)


def test_the_largest_incomplete_messages_are_given_up_first() -> None:
    """Complete and small messages stay, however many they are."""

    async def scenario() -> None:
        budget = MemoryBudget(LIMIT_BYTES)
        complete, small, large, larger = (Member(budget) for _ in range(4))
        complete.is_complete = True
        complete.hold(20_000)
        small.hold(SMALL_MESSAGE_BYTES)
        large.hold(20_000)
        assert not budget.is_full
        larger.hold(60_000)
        assert larger.was_released and not (complete.was_released or small.was_released or large.was_released)
        for member in (complete, small, large):
            member.hold(0)
        assert budget.held_bytes == 0

    run_scenario(scenario)


def test_a_slow_message_gives_room_to_those_that_wait() -> None:
    """Nobody waits for longer than the time after which an incomplete message is too slow."""

    async def scenario() -> None:
        budget = MemoryBudget(LIMIT_BYTES)
        slow = Member(budget)
        slow.hold(int(LIMIT_BYTES * FULL_AT))
        began = trio.current_time()
        with trio.fail_after(WAIT_FOR_ROOM_S * 5):
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(budget.wait_for_room)
        assert slow.was_released and trio.current_time() - began >= WAIT_FOR_ROOM_S

    run_scenario(scenario)


# Guards against connections that have ended, and keep what they received until the collector comes to them.
def test_a_connection_that_has_ended_leaves_nothing_to_the_collector() -> None:
    """With large bodies, many such connections would fill the memory long before a collection."""

    async def scenario() -> None:
        gc.collect()
        gc.disable()
        try:
            async with listener_harness() as at:
                await at.client.send(request_head("half", 1000) + b"x" * 999)
                await wait_until(lambda: at.connection.is_receiving_request)
                ended = weakref.ref(at.connection)
                del at.connection
                at.client.close()
                await wait_until(lambda: not at.listener.connections)
                assert ended() is None
        finally:
            gc.enable()

    run_scenario(scenario)


# Guards against a job's end that is lost because its call-back was answered though nobody has read it.
@pytest.mark.parametrize(("target", "answer"), [(CALLBACK_PATH, b""), ("/admit", b"HTTP/1.1 503 ")])
def test_a_call_back_that_is_given_up_is_not_answered(target: str, answer: bytes) -> None:
    """Its server repeats it until it is answered; a client's request gets its refusal."""

    async def scenario() -> None:
        async with listener_harness() as at:
            at.connection.is_repeated = is_callback
            head = f"POST {target} HTTP/1.1\r\nHost: node\r\nContent-Length: 9999\r\n\r\n".encode()
            await at.client.send(head + b"x" * 9000)
            await wait_until(lambda: at.connection.memory.releasable_bytes() > SMALL_MESSAGE_BYTES)
            at.connection.memory.release_memory()
            assert (await at.answered())[: len(b"HTTP/1.1 503 ")] == answer

    run_scenario(scenario)
