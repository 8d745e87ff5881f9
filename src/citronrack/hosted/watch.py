"""Follows a topic of the platform's store while this node has to."""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random

from ..backoff import Backoff
from ..clock import Clock
from ..errors import LogTrimmed, LogUnavailable
from .messages import CoreMessage, PageRead, ReadFailed
from .store import BACKOFF_CAP_S, KeyedStore

READ_TIMEOUT_MS = 1_000
"""Longest time of a read beyond its wait. A read that hangs keeps its node from finding the store
when it serves again."""

LONG_READ_TIMEOUT_MS = 3_000
LONG_READ_SHARE = 0.25
"""Longest time of some reads after one without an answer: the store may be slow and not away. Nodes
draw which ones, so that they don't all wait for it at the same time."""


def read_timeout_ms(failures: int, random: Random) -> int:
    """Return the longest time of a read beyond its wait.

    Args:
        failures: Reads before it that had no answer.
        random: Source of random numbers.
    """
    patient = failures > 0 and random.random() < LONG_READ_SHARE
    return LONG_READ_TIMEOUT_MS if patient else READ_TIMEOUT_MS


class WatchTask:
    """Reads a topic from its newest records on, and sends each page to the core.

    Args:
        topic: Name of the topic.
        store: Connection to the store, owned by this task.
        post: Takes messages for the core.
        random: Source of random numbers.
        clock: Source of time that goes on while the instance is suspended.
        wait_s: How long the store may hold a read in which nothing changes.
        pause_s: Pause between reads.
        needed: Whether to read from the start on.
    """

    def __init__(
        self,
        topic: str,
        *,
        store: KeyedStore,
        post: Callable[[CoreMessage], None],
        random: Random,
        clock: Clock,
        wait_s: float = 0.0,
        pause_s: float = 0.0,
        needed: bool = True,
    ) -> None:
        self._topic = topic
        self._store = store
        self._post = post
        self._clock = clock
        self._wait_ms = round(wait_s * 1000)
        self._pause_s = pause_s
        self._random = random
        self._backoff = Backoff(random=random, cap_s=BACKOFF_CAP_S)
        self._stopping = threading.Event()
        self._needed = threading.Event()
        if needed:
            self._needed.set()
        self._position: int | None = None
        self._long_poll = False

    def run(self) -> None:
        """Follow the topic until `stop` is called."""
        while not self._stopping.is_set():
            self._needed.wait()
            try:
                self._read_once()
            except LogTrimmed:
                self._position = None  # History was dropped; the newest records replace it.
            except LogUnavailable as error:
                self._long_poll = False
                self._post(ReadFailed(self._topic, str(error)))
                self._stopping.wait(self._backoff.next_s())
            else:
                self._backoff.reset()
                self._stopping.wait(self._pause_s)
        self._store.close()

    def set_needed(self, needed: bool, *, position: int) -> None:
        """Start or stop to follow the topic.

        Args:
            needed: Whether the topic has to be read.
            position: First offset that the node lacks, for a start.
        """
        if needed and not self._needed.is_set() and self._position is not None:
            self._position = max(self._position, position)
            self._long_poll = False
        (self._needed.set if needed else self._needed.clear)()

    def stop(self) -> None:
        """Let `run` return after its present read."""
        self._stopping.set()
        self._needed.set()

    def _read_once(self) -> None:
        """Read once; the first read is answered at once, so that the node can vouch for it."""
        began_at, wait_ms = self._clock.monotonic(), 0
        timeout_ms = read_timeout_ms(self._backoff.failures, self._random)
        full = self._position is None
        if self._position is None:
            page = self._store.newest(self._topic, timeout_ms=timeout_ms)
        else:
            wait_ms = self._wait_ms if self._long_poll else 0
            page = self._store.read(
                self._topic, self._position, wait_ms=wait_ms, timeout_ms=timeout_ms
            )
        created_at = min(self._clock.monotonic(), began_at + wait_ms / 1000)
        self._post(PageRead(self._topic, page, full=full, created_at=created_at))
        self._position = page.position
        self._long_poll = True
