"""Werkzeug server for the intent API."""

from __future__ import annotations

import threading
from concurrent.futures import Executor
from typing import Any

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

POLL_S = 0.2
READ_TIMEOUT_S = 15


class _QuietHandler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = READ_TIMEOUT_S

    def log(self, type: str, message: str, *args: Any) -> None:
        """Suppress werkzeug's access log; the API writes its own log events."""


class WsgiServer(BaseWSGIServer):
    """Werkzeug server that handles its connections on the node's executor.

    Args:
        address: ``(ip, port)`` of the listening socket.
        application: A WSGI application.
        executor: Executor that handles each connection in a thread.
        fd: File descriptor of the listening socket.
    """

    multithread = True

    def __init__(
        self, address: tuple[str, int], application: Any, *, executor: Executor, fd: int
    ) -> None:
        super().__init__(address[0], address[1], application, handler=_QuietHandler, fd=fd)
        self._executor = executor
        self.timeout = POLL_S

    def process_request(self, request: Any, client_address: Any) -> None:
        """Handle one connection on the executor."""
        self._executor.submit(self._serve, request, client_address)

    def run_until(self, stopping: threading.Event) -> None:
        """Handle connections until ``stopping`` is set, then close the server."""
        while not stopping.is_set():
            self.handle_request()
        self.server_close()

    def _serve(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            return  # The client closed the connection.
        finally:
            self.shutdown_request(request)
