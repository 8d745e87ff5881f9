"""Follows a topic of the platform's store while this node has to."""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random

from ..backoff import Backoff
from ..errors import LogTrimmed, LogUnavailable
from .messages import Mail, PageRead, WatchFailed
from .store import BACKOFF_CAP_S, KeyedStore

WAIT_MS = 1_200
"""Time for which the store holds a read. A read that hears nothing of a change must end well within
the two seconds in which the change has to be in force; each call has a price."""


class WatchTask:
    """Reads a topic from its newest records on, and sends each page to the core.

    Args:
        topic: Name of the topic.
        store: Connection to the store, owned by this task.
        post: Takes messages for the core.
        random: Source of random numbers.
        pause_s: Pause between reads that do not wait for new records; 0 to wait for them.
        needed: Whether to read from the start on.
    """

    def __init__(
        self,
        topic: str,
        *,
        store: KeyedStore,
        post: Callable[[Mail], None],
        random: Random,
        pause_s: float = 0.0,
        needed: bool = True,
    ) -> None:
        self._topic = topic
        self._store = store
        self._post = post
        self._pause_s = pause_s
        self._backoff = Backoff(random=random, cap_s=BACKOFF_CAP_S)
        self._stopping = threading.Event()
        self._needed = threading.Event()
        if needed:
            self._needed.set()
        self._position: int | None = None

    def run(self) -> None:
        """Follow the topic until `stop` is called."""
        while not self._stopping.is_set():
            self._needed.wait()
            try:
                self._read_once()
            except LogTrimmed:
                self._position = None  # History was dropped; the newest records replace it.
            except LogUnavailable as error:
                self._post(WatchFailed(self._topic, str(error)))
                self._stopping.wait(self._backoff.next_s())
            else:
                self._backoff.reset()
                self._stopping.wait(self._pause_s)
        self._store.close()

    def need(self, needed: bool, *, position: int) -> None:
        """Start or stop to follow the topic.

        Args:
            needed: Whether the topic has to be read.
            position: First offset that the node lacks, for a start.
        """
        if needed and not self._needed.is_set() and self._position is not None:
            self._position = max(self._position, position)
        (self._needed.set if needed else self._needed.clear)()

    def stop(self) -> None:
        """Let `run` return after its present read."""
        self._stopping.set()
        self._needed.set()

    def _read_once(self) -> None:
        if self._position is None:
            page = self._store.newest(self._topic)
            self._post(PageRead(self._topic, page, whole=True))
        else:
            wait_ms = 0 if self._pause_s else WAIT_MS
            page = self._store.read(self._topic, self._position, wait_ms=wait_ms)
            self._post(PageRead(self._topic, page, whole=False))
        self._position = page.position
