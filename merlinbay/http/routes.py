"""One listener for several fronts, told apart by the first parts of the path."""

from __future__ import annotations

from merlinbay.http.connection import Connection, Handler, Request, Response


class Routes:
    """Hands a request to the handler with the first prefix that fits."""

    def __init__(self, handlers: list[tuple[str, Handler]]) -> None:
        self.handlers = handlers
        self.prefixes = [(prefix, prefix.rstrip("/") + "/", handler) for prefix, handler in handlers]

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Hand the request on."""
        path = request.target.partition("?")[0]
        for prefix, below, handler in self.prefixes:
            if path.startswith(below) or path == prefix:
                return await handler.request(connection, request)
        return Response(404)

    def client_disconnected(self, connection: Connection) -> None:
        """Tell all; the one whose request it was knows it by the connection's context."""
        for _, handler in self.handlers:
            handler.client_disconnected(connection)
