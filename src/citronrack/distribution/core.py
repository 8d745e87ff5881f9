"""Carries log records to all nodes of an availability zone."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum
from random import Random
from typing import Any

from ..clock import Clock
from ..membership.member import Member
from ..transport.send import Send
from .messages import PullRecords, PushRecords, RecordsPage
from .ranking import ranking

PAGE_BYTES = 64 * 1024
KEPT_RECORDS = 5_000


class ReaderRole(StrEnum):
    """This node's part in reading the platform's log."""

    NONE = "none"
    STANDBY = "standby"
    PRIMARY = "primary"


class DistributionCore:
    """Delivers each record once and in order, and passes it on.

    Args:
        own: Name of this node.
        clock: Source of time.
        random: Source of random numbers.
        members: Returns the members of the own zone.
        next_offset: First offset that is missing.
        deliver: Applies one record; called in offset order without gaps.
    """

    MESSAGES: tuple[type[Any], ...] = (PushRecords, PullRecords, RecordsPage)

    def __init__(
        self,
        *,
        own: str,
        clock: Clock,
        random: Random,
        members: Callable[[], Sequence[Member]],
        next_offset: int,
        deliver: Callable[[int, bytes], None],
    ) -> None:
        self._own = own
        self._clock = clock
        self._random = random
        self._members = members
        self._next_offset = next_offset
        self._deliver = deliver
        self._first_kept = next_offset
        self._kept: list[bytes] = []
        self._peer_offsets: dict[str, int] = {}

    @property
    def offset(self) -> int:
        """Next offset that this node folds."""
        return self._next_offset

    @property
    def facts_digest(self) -> int:
        """Digest of this node's facts."""
        return 0

    @property
    def role(self) -> ReaderRole:
        """This node's part in reading the log."""
        names = [member.name for member in ranking(self._members())]
        rank = names.index(self._own) if self._own in names else len(names)
        roles = (ReaderRole.PRIMARY, ReaderRole.STANDBY)
        return roles[rank] if rank < len(roles) else ReaderRole.NONE

    def peer_observed(self, address: str, *, offset: int, facts_digest: int) -> list[Send]:
        """Ask a peer that is ahead for what is missing."""
        self._peer_offsets[address] = offset
        if offset > self._next_offset:
            return [Send(address, PullRecords(self._next_offset))]
        return []

    def peer_offsets(self) -> dict[str, int | None]:
        """Return the next offset of each other live member by name, None when not yet heard."""
        others = (member for member in self._members() if member.name != self._own)
        return {member.name: self._peer_offsets.get(member.address) for member in others}

    def jump_to(self, offset: int) -> None:
        """Continue at ``offset`` after a snapshot was loaded."""
        self._next_offset = offset
        self._first_kept = offset
        self._kept.clear()

    def on_log_records(self, records: Sequence[tuple[int, bytes]]) -> list[Send]:
        """Deliver records that this node read from the log, and push the new ones."""
        fresh = [data for offset, data in records if self._accept(offset, data)]
        return self._push(fresh)

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle pushed, requested and wanted records."""
        if isinstance(message, PullRecords):
            return self._answer(sender, message.from_offset)
        offsets = range(message.first_offset, message.first_offset + len(message.records))
        for offset, data in zip(offsets, message.records, strict=True):
            self._accept(offset, data)
        if message.first_offset > self._next_offset:
            return [Send(sender, PullRecords(self._next_offset))]
        return []

    def on_tick(self) -> list[Send]:
        """Nothing is due; repair follows from the pings."""
        return []

    def _accept(self, offset: int, data: bytes) -> bool:
        if offset != self._next_offset:
            return False
        self._next_offset += 1
        self._kept.append(data)
        if len(self._kept) > KEPT_RECORDS:
            del self._kept[0]
            self._first_kept += 1
        self._deliver(offset, data)
        return True

    def _push(self, fresh: Sequence[bytes]) -> list[Send]:
        if not fresh:
            return []
        message = PushRecords(self._next_offset - len(fresh), tuple(fresh), self._own)
        return [Send(m.address, message) for m in self._members() if m.name != self._own]

    def _answer(self, sender: str, start: int) -> list[Send]:
        if not self._first_kept <= start < self._next_offset:
            return []
        page: list[bytes] = []
        size = 0
        for data in self._kept[start - self._first_kept :]:
            size += len(data)
            if page and size > PAGE_BYTES:
                break
            page.append(data)
        return [Send(sender, RecordsPage(start, tuple(page), self._next_offset))]
