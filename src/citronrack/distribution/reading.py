"""Reader roles, access to the log and the pushes of the standby reader."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from random import Random

from attrs import frozen

from ..clock import Clock

STANDBY_DELAY_S = 0.5
FAILURE_LIMIT = 3
MAX_NON_READERS = 8  # more nodes without the log mean an outage, which not all need to report
RETRY_S = 30.0  # doubled after each failed retry
MAX_RETRY_S = 480.0


class ReaderRole(StrEnum):
    """Role of a node in reading the platform's log."""

    NONE = "none"
    STANDBY = "standby"
    PRIMARY = "primary"


class LogAccess:
    """Counts failed polls; after repeated failures the next rank takes over for some time.

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
        """Whether this node is considered able to read the log."""
        if self._retry_at is not None and self._clock.monotonic() >= self._retry_at:
            self._retry_at = None
            self._failures = FAILURE_LIMIT - 1  # one further failure reaches the limit
        return self._retry_at is None

    def succeeded(self) -> None:
        """Record a successful poll."""
        self._failures = 0
        self._retry_at = None
        self._wait_s = RETRY_S

    def failed(self, *, non_readers: int) -> None:
        """Record a failed poll.

        In an outage of the log no node can take over, so at most `MAX_NON_READERS` nodes step
        down. Otherwise each node in turn would change its description, and all zones would gossip
        these changes.

        Args:
            non_readers: Number of other nodes of the zone that cannot read the log.
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
    """Records that the standby reader pushes unless a peer has pushed them in time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._deferred: list[_DeferredPush] = []
        self._pushed_through = 0

    def defer(self, first: int, records: Sequence[bytes]) -> None:
        """Defer the push of records by `STANDBY_DELAY_S`."""
        due = self._clock.monotonic() + STANDBY_DELAY_S
        self._deferred.append(_DeferredPush(due, first, tuple(records)))

    def pushed_by_peer(self, end: int) -> bool:
        """Record that a peer has pushed the records below ``end``.

        Returns:
            Whether a push of such records was deferred. This node has read the records itself
            then, but its children in the peer's tree still need the push.
        """
        self._pushed_through = max(self._pushed_through, end)
        return any(push.first < end for push in self._deferred)

    def take_due(self) -> list[tuple[int, tuple[bytes, ...]]]:
        """Remove and return first offset and records of each due push that no peer has made."""
        now = self._clock.monotonic()
        due = [push for push in self._deferred if now >= push.due]
        self._deferred = [push for push in self._deferred if now < push.due]
        late = [push for push in due if push.first + len(push.records) > self._pushed_through]
        return [(push.first, push.records) for push in late]
