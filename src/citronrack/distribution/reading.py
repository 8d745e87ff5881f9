"""Which part this node has in reading the log, and whether it can."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from random import Random

from attrs import frozen

from ..clock import Clock

STANDBY_DELAY_S = 0.5
FAILURE_LIMIT = 3
MAX_NON_READERS = 8  # more nodes than this without the log mean an outage; they need not all say so
RETRY_S = 30.0  # doubled after each vain retry
MAX_RETRY_S = 480.0


class ReaderRole(StrEnum):
    """This node's part in reading the platform's log."""

    NONE = "none"
    STANDBY = "standby"
    PRIMARY = "primary"


class LogAccess:
    """Counts failed polls; a node that cannot read gives way to the next rank for a while.

    Args:
        clock: Source of time.
        random: Source of random numbers.
    """

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._failures = 0
        self._retry_at: float | None = None
        self._wait_s = RETRY_S

    @property
    def reading(self) -> bool:
        """Whether this node counts as able to read the log."""
        if self._retry_at is not None and self._clock.monotonic() >= self._retry_at:
            self._retry_at = None
            self._failures = FAILURE_LIMIT - 1  # a single failure is enough next time
        return self._retry_at is None

    def succeeded(self) -> None:
        """Note a poll that was answered."""
        self._failures = 0
        self._retry_at = None
        self._wait_s = RETRY_S

    def failed(self, *, non_readers: int) -> None:
        """Note a poll that was not answered.

        In an outage of the log nobody can take over, so only some nodes give up. Otherwise each
        node in turn would change its description, and all zones would spread these changes.

        Args:
            non_readers: Number of other nodes of the zone that cannot read.
        """
        self._failures += 1
        if self._failures < FAILURE_LIMIT or self._retry_at is not None:
            return
        if non_readers >= MAX_NON_READERS:
            return
        self._retry_at = self._clock.monotonic() + self._wait_s * self._random.uniform(1, 2)
        self._wait_s = min(MAX_RETRY_S, 2 * self._wait_s)


@frozen
class _DeferredPush:
    due: float
    first: int
    records: tuple[bytes, ...]


class StandbyPushes:
    """Records that the standby reader pushes unless a peer does so first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._deferred: list[_DeferredPush] = []
        self._pushed_through = 0

    def defer(self, first: int, records: Sequence[bytes]) -> None:
        """Keep records for `STANDBY_DELAY_S`."""
        due = self._clock.monotonic() + STANDBY_DELAY_S
        self._deferred.append(_DeferredPush(due, first, tuple(records)))

    def pushed_by_peer(self, end: int) -> bool:
        """Note that a peer has pushed the records below ``end``.

        Returns:
            Whether such records were held; then the nodes below this one in the peer's tree still
            need the push, although this node had read the records itself.
        """
        self._pushed_through = max(self._pushed_through, end)
        return any(held.first < end for held in self._deferred)

    def take_due(self) -> list[tuple[int, tuple[bytes, ...]]]:
        """Remove and return first offset and records of what no peer has pushed in time."""
        now = self._clock.monotonic()
        due = [held for held in self._deferred if now >= held.due]
        self._deferred = [held for held in self._deferred if now < held.due]
        late = [held for held in due if held.first + len(held.records) > self._pushed_through]
        return [(held.first, held.records) for held in late]
