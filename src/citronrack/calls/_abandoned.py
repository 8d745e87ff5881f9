"""Requests that were given up while their target may still work on them."""

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
"""Longest time that an abandoned request counts as running.

A target that reads nothing while it works notices the end of its connection only at its answer;
most requests end within this time, and a target that never ends must not keep its slot for long.
"""

POLL_S = 0.05

DoneCallback = Callable[[], None]


@frozen
class _AbandonedRequest:
    """A connection whose request nobody waits for."""

    connection: socket.socket
    on_target_done: DoneCallback
    expiry: float

    def is_done(self, now: float) -> bool:
        """Return whether the request can no longer be at work, or has had its time."""
        return now >= self.expiry or has_input(self.connection)


class AbandonedRequests:
    """Waits until targets have dropped or answered requests that nobody waits for any more.

    The sending side of each connection is closed at once, which tells the target to stop; the
    target's own close or answer shows that it has.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waiting: list[_AbandonedRequest] = []
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="abandoned-requests")
        self._running = False
        self._closed = False

    def add(self, connection: socket.socket, on_target_done: DoneCallback) -> None:
        """Take over a connection.

        Args:
            connection: The connection; it is closed here.
            settled: Called once, from another thread, when the request can no longer be at work.
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
        """End all waits."""
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
        ended: list[_AbandonedRequest] = []
        left: list[_AbandonedRequest] = []
        with self._lock:
            for request in self._waiting:
                (ended if self._closed or request.is_done(now) else left).append(request)
            self._waiting = left
        return ended
