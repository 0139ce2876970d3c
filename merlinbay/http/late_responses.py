"""Passes a response that comes after its handler has returned to the task that writes it."""

from __future__ import annotations

import trio

from merlinbay.http.messages import Response


class LateResponses:
    """At most one response at a time."""

    def __init__(self) -> None:
        self._response: Response | None = None
        self._wake_up = trio.Event()  # there is a response, or the connection has ended

    def put(self, response: Response) -> None:
        """Pass a response on. Does not wait."""
        self._response = response
        self._wake_up.set()

    def end(self) -> None:
        """Wake the task that writes, since the connection has ended."""
        self._wake_up.set()

    async def next(self) -> Response | None:
        """Wait for a response or the end; None: there is no response."""
        await self._wake_up.wait()
        self._wake_up = trio.Event()
        response, self._response = self._response, None
        return response
