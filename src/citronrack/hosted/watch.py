"""Follows a topic of the platform's store while this node has to read it."""

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
"""Timeout of a read, in addition to its long-poll wait. It is short because a hanging read delays
the detection that the store is available again."""

LONG_READ_TIMEOUT_MS = 3_000
LONG_READ_SHARE = 0.25
"""Timeout of a random share of the reads after a failed one, because the store may be slow rather
than unavailable. The choice is random so that nodes do not all wait for it at the same time."""


PROMPT_S = 0.25
"""Delay of an answer after a long poll up to which the store made it at the end of the wait. A
later one may have been made at any time after the request."""

EARLY_S = 0.02
"""How much earlier than asked a store may end a long poll, for the resolution of its timer."""

FULL_READ_SPREAD_S = 0.2
"""Time over which readers spread full reads of a topic. Most of them learn meanwhile from another
node what they lack, and stop reading."""


def read_timeout_ms(failures: int, random: Random) -> int:
    """Return the timeout of a read, in addition to its long-poll wait.

    Args:
        failures: Number of consecutive failed reads before it.
        random: Source of random numbers.
    """
    use_long_timeout = failures > 0 and random.random() < LONG_READ_SHARE
    return LONG_READ_TIMEOUT_MS if use_long_timeout else READ_TIMEOUT_MS


class WatchTask:
    """Reads the newest records of a topic and then its changes, and sends each page to the core.

    Args:
        topic: Name of the topic.
        store: Connection to the store, owned by this task.
        post: Sends a message to the core.
        random: Source of random numbers.
        clock: Clock that keeps running while the instance is suspended.
        wait_s: Duration of a long poll: how long the store may hold a read without new records.
        pause_s: Pause between reads.
        needed: Whether the topic is read initially.
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
        self._reread = threading.Event()
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
                # The history was dropped, or the store has returned from a copy, so the newest
                # records are read. All readers see that at once; the first one reads for all.
                self._position = None
                self._stopping.wait(FULL_READ_SPREAD_S * self._random.random())
            except LogUnavailable as error:
                self._long_poll = False
                self._post(ReadFailed(self._topic, str(error)))
                self._stopping.wait(self._backoff.next_s())
            else:
                self._backoff.reset()
                self._stopping.wait(self._pause_s)
        self._store.close()

    def set_needed(self, needed: bool, *, position: int) -> None:
        """Start or stop reading the topic.

        Args:
            needed: Whether the topic has to be read.
            position: First position that the node lacks; used when reading starts.
        """
        if needed and not self._needed.is_set() and (position or self._position is not None):
            self._position = max(self._position or 0, position)
            self._long_poll = False
        (self._needed.set if needed else self._needed.clear)()

    def reread(self) -> None:
        """Read the newest record of every key next, instead of the changes."""
        self._reread.set()

    def stop(self) -> None:
        """Make `run` return after its current read."""
        self._stopping.set()
        self._needed.set()

    def _read_once(self) -> None:
        """Read once; reads after a start or a failure do not wait, to confirm the end early."""
        if self._reread.is_set():
            self._reread.clear()
            self._position = None
        started_at, wait_ms = self._clock.monotonic(), 0
        timeout_ms = read_timeout_ms(self._backoff.failures, self._random)
        full = self._position is None
        if self._position is None:
            page = self._store.newest(self._topic, timeout_ms=timeout_ms)
        else:
            wait_ms = self._wait_ms if self._long_poll else 0
            page = self._store.read(
                self._topic, self._position, wait_ms=wait_ms, timeout_ms=timeout_ms
            )
        now = self._clock.monotonic()
        created_at = min(now, started_at + wait_ms / 1000)
        # The store holds a read without records for the whole wait, and not one with records.
        late_s = now - started_at - wait_ms / 1000
        waited = not page.records and -EARLY_S <= late_s <= PROMPT_S
        self._post(
            PageRead(
                self._topic,
                page,
                full=full,
                created_at=created_at,
                confirmed_at=created_at if waited else started_at,
            )
        )
        self._position = page.position
        self._long_poll = True
