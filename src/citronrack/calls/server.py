"""Accepts connections and serves each one on a thread of its own."""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import Executor

import httptools

from .http import HttpMessage, read_request

IDLE_TIMEOUT_S = 30.0
BACKLOG = 128
POLL_S = 0.2

Handler = Callable[[HttpMessage], bytes]


class CallServer:
    """A listener whose connections are served by ``handler``.

    Args:
        address: ``(ip, port)`` to listen on.
        handler: Returns the bytes of the answer to one request.
        executor: Runs one thread per connection.
    """

    def __init__(self, *, address: tuple[str, int], handler: Handler, executor: Executor) -> None:
        self._handler = handler
        self._executor = executor
        self._listener = socket.create_server(address, backlog=BACKLOG)
        self._listener.settimeout(POLL_S)
        self._stopping = False

    def run(self) -> None:
        """Accept connections until `stop` is called."""
        while not self._stopping:
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(IDLE_TIMEOUT_S)
            self._executor.submit(self._serve, connection)
        self._listener.close()

    def stop(self) -> None:
        """Let `run` return and accept no more connections."""
        self._stopping = True

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while not self._stopping:
                try:
                    request = read_request(connection)
                    if request is None:
                        return
                    connection.sendall(self._handler(request))
                except (OSError, httptools.HttpParserError):
                    return
                if not request.keep_alive:
                    return
