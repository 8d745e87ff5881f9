"""Abandoned requests that their target may still be processing."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from attrs import frozen

from ._sockets import has_input

ABANDONED_TIMEOUT_S = 0.5
"""Longest time for which an abandoned request counts as running.

A target that does not read while it works notices the closed connection only when it responds. Most
requests end within this time, and a target that never closes must not hold its slot for long.
"""

POLL_S = 0.05

DoneCallback = Callable[[], None]


@frozen
class _AbandonedRequest:
    """A connection whose request was abandoned."""

    connection: socket.socket
    on_target_done: DoneCallback
    expiry: float

    def is_done(self, now: float) -> bool:
        """Return whether the target has finished or the timeout has passed."""
        return now >= self.expiry or has_input(self.connection)


class AbandonedRequests:
    """Waits until targets have dropped or answered abandoned requests.

    The sending side of each connection is shut down at once, which signals the target to stop. The
    target has stopped when it closes the connection or responds.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waiting: list[_AbandonedRequest] = []
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="abandoned-requests")
        self._running = False
        self._closed = False

    def add(self, connection: socket.socket, on_target_done: DoneCallback) -> None:
        """Add the connection of an abandoned request.

        Args:
            connection: The connection; it is closed when the target is done.
            on_target_done: Called once, on another thread, when the target is done or the timeout
                has passed.
        """
        with contextlib.suppress(OSError):  # The peer may have closed it already.
            connection.shutdown(socket.SHUT_WR)
        expiry = time.monotonic() + ABANDONED_TIMEOUT_S
        with self._lock:
            self._waiting.append(_AbandonedRequest(connection, on_target_done, expiry))
            start = not self._running
            self._running = True
        if start:
            self._executor.submit(self._run)

    def close(self) -> None:
        """Stop waiting for all requests."""
        self._closed = True
        self._executor.shutdown(wait=False)

    def _run(self) -> None:
        while True:
            time.sleep(POLL_S)
            for request in self._pop_done():
                request.connection.close()
                request.on_target_done()
            with self._lock:
                if not self._waiting:
                    self._running = False
                    return

    def _pop_done(self) -> list[_AbandonedRequest]:
        now = time.monotonic()
        done: list[_AbandonedRequest] = []
        pending: list[_AbandonedRequest] = []
        with self._lock:
            for request in self._waiting:
                (done if self._closed or request.is_done(now) else pending).append(request)
            self._waiting = pending
        return done
