"""Listener of the intent API, which loads the server on first use."""

from __future__ import annotations

import selectors
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ._wsgi import WsgiServer

POLL_S = 0.2


class ApiListener:
    """Listens immediately, but imports werkzeug and builds the application on the first connection.

    Most nodes never receive a request from an operator, and werkzeug takes about 5 MB of resident
    memory.

    Args:
        address: ``(ip, port)`` to listen on.
        make_application: Returns the WSGI application.
        executor: Executor that handles each connection in a thread.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        make_application: Callable[[], Any],
        executor: Executor,
    ) -> None:
        self._listener = socket.create_server(address)
        self._address = address
        self._make_application = make_application
        self._executor = executor
        self._stopping = threading.Event()
        self._server: WsgiServer | None = None

    def run(self) -> None:
        """Serve until `stop` is called."""
        if self._wait_for_connection():
            from ._wsgi import WsgiServer

            self._server = WsgiServer(
                self._address,
                self._make_application(),
                executor=self._executor,
                fd=self._listener.fileno(),
            )
            self._server.run_until(self._stopping)
        self._listener.close()

    def stop(self) -> None:
        """Make `run` return."""
        self._stopping.set()

    def _wait_for_connection(self) -> bool:
        with selectors.DefaultSelector() as selector:
            selector.register(self._listener, selectors.EVENT_READ)
            while not self._stopping.is_set():
                if selector.select(POLL_S):
                    return True
        return False
