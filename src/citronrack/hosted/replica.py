"""A node's replica of a topic, fed by the store and by other nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..clock import Clock
from .position import era_of, offset_of
from .store import KeyedPage, KeyedRecord

REWRITE_S = 5.0
"""Time after a return of the store from a copy in which its writers write again what it has lost.
Until then, an older value in the copy or a missing key may be a loss and not a decision."""

Supersedes = Callable[[KeyedRecord, KeyedRecord], bool | None]
"""Returns whether a record replaces a known one of an earlier era by what they contain, None if
the contents do not say."""


VersionOf = Callable[[KeyedRecord], int | None]


class TopicReplica:
    """The newest record of each key of one topic.

    Records are ordered by position, so pages may come from any source and in any order. Pages of an
    earlier era of the store have no effect. When a later era begins, the known records stay in use
    until the restored topic holds newer ones: a copy that the store returned from may hold less.

    Records with a version are ordered by it before their position, so that no late append, copy of
    the store or message brings an older version back, and none that cannot be used replaces one.

    Args:
        topic: Name of the topic.
        clock: Source of time.
        supersedes: Compares contents across eras; without it, the later era always wins.
        version_of: Returns the version in a record, None if it has none or cannot be used.
    """

    def __init__(
        self,
        topic: str,
        *,
        clock: Clock,
        supersedes: Supersedes | None = None,
        version_of: VersionOf = lambda record: None,
    ) -> None:
        self._topic = topic
        self._clock = clock
        self._supersedes = supersedes
        self._version_of = version_of
        self._position = 0
        self._known = False
        self._records: dict[str, KeyedRecord] = {}
        self._restored_at: float | None = None
        self._disputed: set[str] = set()

    @property
    def topic(self) -> str:
        """Name of the topic."""
        return self._topic

    @property
    def position(self) -> int:
        """First position that the replica does not cover."""
        return self._position

    @property
    def known(self) -> bool:
        """Whether the replica has held the whole topic as of some time, which may be empty."""
        return self._known

    @property
    def era(self) -> int:
        """Era of the store that the replica follows."""
        return era_of(self._position)

    @property
    def settled(self) -> bool:
        """Whether the store's writers have had time to write again what a return has lost."""
        if self._restored_at is None:
            return True
        return self._clock.monotonic() - self._restored_at >= REWRITE_S

    @property
    def disputed(self) -> bool:
        """Whether records are kept that the restored topic lacks or has with another value."""
        return bool(self._disputed)

    def record(self, key: str) -> KeyedRecord | None:
        """Return the newest record of a key, None when there is none."""
        return self._records.get(key)

    def records(self) -> dict[str, KeyedRecord]:
        """Return the newest records by key."""
        return dict(self._records)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, None when there is none."""
        record = self.record(key)
        return record.value if record is not None else None

    def apply(self, page: KeyedPage) -> list[KeyedRecord]:
        """Apply records and return those that replace the known ones.

        The position only advances over a page that starts at or before it: records between the
        position and a later start may have been lost in transit.
        """
        if era_of(page.position) < self.era:
            return []
        self._follow_era(page)
        changed = self._merge(page.records)
        if page.start <= self._position:
            self._known = True
            self._position = max(self._position, page.position)
        return changed

    def replace(self, page: KeyedPage) -> list[KeyedRecord]:
        """Apply the newest record of every key; keys that are missing were removed.

        Nothing is removed by a page of which a part could not be read.

        Returns:
            The records that replace the known ones, including removals.
        """
        if era_of(page.position) < self.era:
            return []
        self._follow_era(page)
        present = {record.key for record in page.records}
        missing = [
            record
            for record in self._records.values()
            if record.key not in present
            and not page.unreadable
            and record.value is not None
            and record.position < page.position
        ]
        removed = []
        for record in missing:
            if era_of(record.position) < era_of(page.position) and self._may_be_lost:
                self._disputed.add(record.key)
            else:
                removed.append(KeyedRecord(record.key, None, page.position - 1))
        return self.apply(KeyedPage((*page.records, *removed), page.position))

    def overtaken(self, position: int) -> tuple[KeyedRecord, ...]:
        """Return the records with a version that lie before a position.

        A node that covers this position may lack them: it may hold an older version instead, which
        was written later.
        """
        return tuple(
            record
            for record in self._records.values()
            if record.position < position and self._version_of(record) is not None
        )

    def since(self, position: int) -> KeyedPage:
        """Return the records that a replica lacks which covers all before ``position``."""
        newer = [record for record in self._records.values() if record.position >= position]
        newer.sort(key=lambda record: record.position)
        return KeyedPage(tuple(newer), self._position, start=position)

    @property
    def _may_be_lost(self) -> bool:
        """Whether a key that is missing after a return may have been lost with it."""
        return self._supersedes is not None and not self.settled

    def _follow_era(self, page: KeyedPage) -> None:
        if self._position and era_of(page.position) > self.era:
            self._restored_at = self._clock.monotonic()
            self._disputed.clear()

    def _merge(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        changed = []
        for record in records:
            known = self._records.get(record.key)
            if known is not None and not self._replaces(known, record):
                if record.position > known.position:
                    self._disputed.add(record.key)
                continue
            self._disputed.discard(record.key)
            self._records[record.key] = record
            changed.append(record)
        return changed

    def _replaces(self, known: KeyedRecord, record: KeyedRecord) -> bool:
        if known.value != record.value:
            old, new = self._version_of(known), self._version_of(record)
            if old != new:
                return new is not None and (old is None or new > old)
        return record.position > known.position and not self._keeps(known, record)

    def _keeps(self, known: KeyedRecord, record: KeyedRecord) -> bool:
        """Return whether a known record of an earlier era stays in place of a newer one.

        Before the time of the copy, both eras have the same records at the same offsets. So a
        record at a lower offset than the known one may be one that had been replaced or removed.
        """
        if self._supersedes is None or known.value == record.value:
            return False
        if era_of(record.position) == era_of(known.position):
            return False
        supersedes = self._supersedes(known, record)
        if supersedes is not None:
            return not supersedes
        return not self.settled and offset_of(record.position) <= offset_of(known.position)
