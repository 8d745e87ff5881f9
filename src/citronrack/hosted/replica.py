"""A node's replica of a topic, fed by the store and by other nodes."""

from __future__ import annotations

from collections.abc import Iterable

from .store import KeyedPage, KeyedRecord


class TopicReplica:
    """The newest record of each key of one topic.

    Records are ordered by offset, so pages may come from any source and in any order.

    Args:
        topic: Name of the topic.
    """

    def __init__(self, topic: str) -> None:
        self._topic = topic
        self._position = 0
        self._records: dict[str, KeyedRecord] = {}

    @property
    def topic(self) -> str:
        """Name of the topic."""
        return self._topic

    @property
    def position(self) -> int:
        """First offset that the replica does not cover."""
        return self._position

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
        """Apply records and return those that are newer than the known ones.

        The position only advances over a page that starts at or before it: records between the
        position and a later start may have been lost in transit.
        """
        changed = self._merge(page.records)
        if page.start <= self._position:
            self._position = max(self._position, page.position)
        return changed

    def replace(self, page: KeyedPage) -> list[KeyedRecord]:
        """Apply the newest record of every key; keys that are missing were removed.

        Returns:
            The records that are newer than the known ones, including removals.
        """
        present = {record.key for record in page.records}
        removed = [
            KeyedRecord(record.key, None, page.position - 1)
            for record in self._records.values()
            if record.key not in present
            and record.value is not None
            and record.offset < page.position
        ]
        return self.apply(KeyedPage((*page.records, *removed), page.position))

    def since(self, position: int) -> KeyedPage:
        """Return the records that a replica lacks which covers all offsets below ``position``."""
        newer = [record for record in self._records.values() if record.offset >= position]
        newer.sort(key=lambda record: record.offset)
        return KeyedPage(tuple(newer), self._position, start=position)

    def _merge(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        changed = []
        for record in records:
            known = self._records.get(record.key)
            if known is None or record.offset > known.offset:
                self._records[record.key] = record
                changed.append(record)
        return changed
