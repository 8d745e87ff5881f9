"""A message queue between tasks that can be polled."""

from __future__ import annotations

import queue
import socket
from typing import Any


class Mailbox:
    """A message queue with a file descriptor for polling.

    Any thread may put messages; only the owner takes them. A byte on a socket pair wakes the
    owner's poller.
    """

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when a message is put."""
        return self._reader.fileno()

    def put(self, message: Any, *, wake: bool = True) -> None:
        """Add a message; with ``wake=False``, the owner sees it at its next regular wake-up."""
        self._queue.put(message)
        if not wake:
            return
        try:
            self._writer.send(b"\0")
        except BlockingIOError:
            return  # The buffer is full of pending wake-ups.

    def take_all(self) -> list[Any]:
        """Remove and return all pending messages."""
        try:
            while self._reader.recv(4096):
                continue
        except BlockingIOError:
            pass
        messages = []
        while True:
            try:
                messages.append(self._queue.get_nowait())
            except queue.Empty:
                return messages

    def close(self) -> None:
        """Close the socket pair."""
        self._reader.close()
        self._writer.close()
