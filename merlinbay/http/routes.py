"""Routes the requests of one listener to several fronts by the prefix of the path."""

from __future__ import annotations

from merlinbay.http.connection import Connection, Handler, Request, Response


class Routes:
    """Passes a request to the handler of the first prefix that matches; responds with 404 if none does."""

    def __init__(self, handlers: list[tuple[str, Handler]]) -> None:
        self.handlers = handlers
        self.prefixes = [(prefix, prefix.rstrip("/") + "/", handler) for prefix, handler in handlers]

    async def request(self, connection: Connection, request: Request) -> Response | None:
        """Pass the request to its handler."""
        path = request.target.partition("?")[0]
        for prefix, subtree, handler in self.prefixes:
            if path.startswith(subtree) or path == prefix:
                return await handler.request(connection, request)
        return Response(404)

    def client_disconnected(self, connection: Connection) -> None:
        """Notify all handlers. The one whose request it was recognizes it by the connection's context."""
        for _, handler in self.handlers:
            handler.client_disconnected(connection)
