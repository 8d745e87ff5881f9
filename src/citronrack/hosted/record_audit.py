"""Logs and counts records of the store that a node does not use."""

from __future__ import annotations

from collections.abc import Callable

from attrs import asdict, frozen

from ..telemetry import Event, EventLog
from .messages import PageRead
from .position import era_of, offset_of, position_fields
from .replica import TopicReplica
from .store import KeyedRecord


@frozen
class RecordFault:
    """Why a record is refused.

    Attributes:
        table: Name of the table with the fault, empty for one outside of all tables.
        row: Number of the row in the table, counted from 1; 0 for a fault of the whole table.
        reason: What is wrong; contains no key of a workspace.
    """

    table: str
    row: int
    reason: str


class RecordAudit:
    """Makes each record that is not used visible to operators.

    Args:
        events: Event log.
        fault_of: Returns why a record is refused, None if that is not known.
    """

    def __init__(
        self, events: EventLog, *, fault_of: Callable[[KeyedRecord], RecordFault | None]
    ) -> None:
        self._events = events
        self._fault_of = fault_of
        self._refused = 0

    @property
    def refused(self) -> int:
        """Number of records that could not be used."""
        return self._refused

    def refuse(self, record: KeyedRecord) -> None:
        """Record that a record cannot be decoded or does not belong to its key."""
        self._refused += 1
        fault = self._fault_of(record)
        self._events.write(
            Event.RECORD_REFUSED,
            key=record.key,
            **position_fields(record.position),
            **(asdict(fault) if fault is not None else {}),
        )

    def page_applied(self, message: PageRead, replica: TopicReplica) -> None:
        """Record what a replica has not taken from a page of the store.

        Args:
            message: The page.
            replica: The replica, after the page was applied.
        """
        if message.page.unreadable:
            self._refused += message.page.unreadable
            self._events.write(
                Event.RECORDS_UNREADABLE, topic=message.topic, count=message.page.unreadable
            )
        for record in {record.key: record for record in message.page.records}.values():
            known = replica.record(record.key)
            if known is None or known.value == record.value:
                continue
            if self._fault_of(record) is not None:
                self.refuse(record)
            else:
                self._events.write(
                    Event.RECORD_NOT_NEWER,
                    key=record.key,
                    **position_fields(record.position),
                    known_offset=offset_of(known.position),
                    known_era=era_of(known.position),
                )
