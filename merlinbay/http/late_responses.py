"""Passes late responses, which come after the handler has returned, to the task that writes them."""

from __future__ import annotations

import trio

from merlinbay.http.messages import Response


class LateResponses:
    """A slot for one late response of a connection, with a wake-up for the task that writes it."""

    def __init__(self) -> None:
        self._response: Response | None = None
        self._wake_up = trio.Event()  # set when there is a response or the connection has ended

    def put(self, response: Response) -> None:
        """Pass a response to the task that writes. Does not wait."""
        self._response = response
        self._wake_up.set()

    def end(self) -> None:
        """Wake the task that writes because the connection has ended."""
        self._wake_up.set()

    async def next(self) -> Response | None:
        """Wait for a response or the end of the connection. Return None if there is no response."""
        await self._wake_up.wait()
        self._wake_up = trio.Event()
        response, self._response = self._response, None
        return response
