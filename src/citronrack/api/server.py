"""Serves a WSGI application on an executor."""

from __future__ import annotations

from concurrent.futures import Executor
from typing import Any

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

POLL_S = 0.1


class _QuietHandler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 15

    def log(self, type: str, message: str, *args: Any) -> None:
        """Write nothing; the event log has its own lines."""


class ApiServer(BaseWSGIServer):
    """A werkzeug server whose requests run on the node's executor.

    Args:
        address: ``(ip, port)`` to listen on.
        application: A WSGI application.
        executor: Runs one thread per connection.
    """

    multithread = True

    def __init__(self, address: tuple[str, int], application: Any, executor: Executor) -> None:
        super().__init__(address[0], address[1], application, handler=_QuietHandler)
        self._executor = executor

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve one connection on the executor."""
        self._executor.submit(self._serve, request, client_address)

    def run(self) -> None:
        """Serve until `shutdown` is called."""
        self.serve_forever(POLL_S)

    def _serve(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            return  # The operator's client has gone away.
        finally:
            self.shutdown_request(request)
