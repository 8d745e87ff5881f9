"""Delivers signals to the main thread as messages."""

from __future__ import annotations

import select
import signal
import socket
from collections.abc import Iterable


class SignalInbox:
    """Receives signals regardless of the thread that the system interrupts.

    A Python handler only runs when the main thread returns from a blocking call, so a signal that
    interrupts another thread would be handled seconds late.

    Args:
        numbers: Signals to receive; they no longer terminate the process.
    """

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

    def put(self, number: signal.Signals) -> None:
        """Add a signal from another thread of this process."""
        self._writer.send(bytes([number]))

    def wait(self, timeout_s: float) -> frozenset[signal.Signals]:
        """Return the signals that have arrived, after at most ``timeout_s`` seconds."""
        select.select([self._reader], [], [], timeout_s)
        try:
            received = self._reader.recv(4096)
        except BlockingIOError:
            return frozenset()
        return frozenset(signal.Signals(number) for number in received)
