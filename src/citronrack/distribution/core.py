"""Carries log records and facts to all nodes of an availability zone."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol

from ..clock import Clock
from ..membership.member import Member
from ..transport.send import Send
from .facts import Fact, FactStore
from .messages import (
    FactsDelta,
    PullFacts,
    PullRecords,
    PullSnapshot,
    PushRecords,
    RecordsPage,
    SnapshotPage,
)
from .progress import Progress, ProgressReporter, ZoneProgress
from .reading import LogAccess, ReaderRole, StandbyPushes
from .repair import Repair
from .snapshots import SnapshotAssembler, SnapshotSource
from .spread import FactSpreader
from .store import RecordStore, pages
from .tree import Tree

MAX_FORWARDED_PUSHES = 256
MAX_PUSHED = 100  # a reader that catches up reads more at once; repair spreads those over peers


class FoldView(Protocol):
    """What this core reads of the folded log."""

    @property
    def next_offset(self) -> int:
        """Next offset that this node folds."""

    @property
    def version(self) -> int:
        """Configuration version in force, -1 for none."""


class DistributionCore:
    """Delivers each record once and in order, and passes it on.

    Args:
        own: Name of this node.
        clock: Source of time.
        random: Source of random numbers.
        members: Returns the members of the own zone; the same tuple while nothing has changed.
        fold: Where to start, and the version in force.
        deliver: Applies one record; called in offset order without gaps.
        relays: Returns the address of one relay of each other zone.
        make_snapshot: Returns the snapshot that ends at `next_offset`.
        load_snapshot: Takes a snapshot over; returns whether it was usable.
    """

    MESSAGES: tuple[type[Any], ...] = (
        PushRecords,
        PullRecords,
        RecordsPage,
        PullSnapshot,
        SnapshotPage,
        PullFacts,
        FactsDelta,
        Progress,
    )

    def __init__(
        self,
        *,
        own: str,
        clock: Clock,
        random: Random,
        members: Callable[[], Sequence[Member]],
        fold: FoldView,
        deliver: Callable[[int, bytes], None],
        relays: Callable[[], Sequence[str]] = tuple,
        make_snapshot: Callable[[], bytes] | None = None,
        load_snapshot: Callable[[bytes], bool] | None = None,
    ) -> None:
        self._own = own
        self._deliver = deliver
        self._load_snapshot = load_snapshot
        self._tree = Tree(own, members)
        self._store = RecordStore(fold.next_offset)
        self._repair = Repair(clock=clock, random=random)
        self._log = LogAccess(clock=clock, random=random)
        self._standby = StandbyPushes(clock)
        self._facts = FactStore()
        self._spreader = FactSpreader(
            own=own, store=self._facts, clock=clock, tree=self._tree, relays=relays
        )
        self._progress = ProgressReporter(
            own=own, clock=clock, tree=self._tree, version=lambda: fold.version
        )
        self._source = (
            None if make_snapshot is None else SnapshotSource(clock=clock, make=make_snapshot)
        )
        self._assembler = SnapshotAssembler()
        self._forwarded: dict[tuple[int, int], None] = {}
        self._handlers: dict[type[Any], Callable[[str, Any], list[Send]]] = {
            PushRecords: self._on_push,
            PullRecords: self._on_pull,
            RecordsPage: self._on_page,
            PullSnapshot: self._on_snapshot_pull,
            SnapshotPage: self._on_snapshot_page,
            PullFacts: self._spreader.answer,
            FactsDelta: self._spreader.take,
            Progress: self._on_progress,
        }

    @property
    def offset(self) -> int:
        """Next offset that this node folds."""
        return self._store.next

    @property
    def next_offset(self) -> int:
        """Next offset that this node folds."""
        return self._store.next

    @property
    def facts(self) -> FactStore:
        """Facts that spread without the log; add own ones with `put_fact`."""
        return self._facts

    @property
    def facts_digest(self) -> int:
        """Digest of this node's facts."""
        return self._facts.digest

    @property
    def tree(self) -> Tree:
        """Positions in the own zone."""
        return self._tree

    @property
    def reading(self) -> bool:
        """Whether this node counts as able to read the log; belongs into its member description."""
        return self._log.reading

    @property
    def role(self) -> ReaderRole:
        """This node's part in reading the log."""
        readers = self._tree.readers()
        if self._own not in readers:
            return ReaderRole.NONE
        return (ReaderRole.PRIMARY, ReaderRole.STANDBY)[readers.index(self._own)]

    def put_fact(self, key: str, rank: int, payload: bytes, *, urgent: bool = False) -> list[Send]:
        """Add a fact of this node; an urgent one is pushed down the tree at once."""
        return self._spreader.put(Fact(key, rank, payload), urgent=urgent)

    def own_zone_progress(self, availability_zone: str) -> ZoneProgress:
        """Return what this node has heard of its zone; exact only at the root of the tree."""
        return self._progress.zone(availability_zone)

    def peer_observed(self, address: str, *, offset: int, facts_digest: int) -> list[Send]:
        """Compare with a peer, and ask for what is missing here."""
        self._repair.observe(address, offset)
        return [*self._pull_if_due(), *self._spreader.peer_observed(address, facts_digest)]

    def peer_offsets(self) -> dict[str, int | None]:
        """Return the next offset of each other live member by name, None when not yet heard."""
        others = (member for member in self._tree.ranking if member.name != self._own)
        return {member.name: self._repair.offset_of(member.address) for member in others}

    def jump_to(self, offset: int) -> None:
        """Continue at ``offset`` after a snapshot was loaded."""
        self._store.jump_to(offset)

    def on_log_records(self, records: Sequence[tuple[int, bytes]]) -> list[Send]:
        """Deliver records that this node read from the log, and push the new ones."""
        self._log.succeeded()
        first = self._store.next
        fresh = [data for offset, data in records for data in self._accept(offset, data)]
        if not fresh or len(fresh) > MAX_PUSHED:
            return []
        role = self.role
        if role is ReaderRole.PRIMARY:
            return self._push(first, fresh, self._own)
        if role is ReaderRole.STANDBY:
            self._standby.defer(first, fresh)
        return []

    def on_log_failure(self) -> None:
        """Note a poll of the log that got no answer."""
        others = (member for member in self._tree.ranking if member.name != self._own)
        self._log.failed(non_readers=sum(not member.reading for member in others))

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message of this core."""
        return self._handlers[type(message)](sender, message)

    def on_tick(self) -> list[Send]:
        """Push what the primary reader did not, repair, and report progress."""
        effects: list[Send] = []
        for first, records in self._standby.take_due():
            effects += self._push(first, records, self._own)
        if self._source is not None:
            self._source.drop_old()
        return [*effects, *self._pull_if_due(), *self._progress.on_tick()]

    def _on_push(self, sender: str, message: PushRecords) -> list[Send]:
        end = message.first_offset + len(message.records)
        before = self._store.next
        gap = message.first_offset > before
        new = self._standby.pushed_by_peer(end) or end > before
        new = new and self._first_receipt(message.first_offset, end)
        for offset, data in enumerate(message.records, message.first_offset):
            self._accept(offset, data)
        effects = self._forward(message, sender) if new else []
        if gap:
            self._repair.observe(sender, end)
            effects += self._pull_if_due()
        return effects

    def _on_pull(self, sender: str, message: PullRecords) -> list[Send]:
        start = message.from_offset
        if start >= self._store.next or start < 0:
            return [Send(sender, RecordsPage(self._store.next, (), self._store.next))]
        if start >= self._store.first:
            return [Send(sender, RecordsPage(start, self._store.page(start), self._store.next))]
        if self._source is None:
            return []
        page = self._source.first_part(self._store.next, at_least=self._store.first)
        return [Send(sender, page)] if page is not None else []

    def _on_page(self, sender: str, message: RecordsPage) -> list[Send]:
        self._repair.record_answer(sender)
        self._repair.observe(sender, message.end)
        first = self._store.next
        fresh: list[bytes] = []
        for offset, data in enumerate(message.records, message.first_offset):
            fresh += self._accept(offset, data)
        effects: list[Send] = []
        if fresh and not self._tree.is_member(sender):
            # The zone gets these records through this node, as from a reader.
            effects += self._push(first, fresh, self._own)
        if fresh and self._store.next < message.end:
            self._repair.record_request(sender)
            effects.append(Send(sender, PullRecords(self._store.next)))
        return effects

    def _on_snapshot_pull(self, sender: str, message: PullSnapshot) -> list[Send]:
        page = None if self._source is None else self._source.part(message)
        return [Send(sender, page)] if page is not None else []

    def _on_snapshot_page(self, sender: str, message: SnapshotPage) -> list[Send]:
        if not self._repair.record_answer(sender) or message.through <= self._store.next:
            return []
        data = self._assembler.take(message)
        if data is not None:
            self._take_snapshot(sender, message.through, data)
            return self._pull_if_due()
        wanted = self._assembler.next_request()
        if wanted is None:
            return []
        self._repair.record_request(sender)
        return [Send(sender, wanted)]

    def _take_snapshot(self, sender: str, through: int, data: bytes) -> None:
        if self._load_snapshot is None or not self._load_snapshot(data):
            self._repair.mark_failed(sender)
        elif self._store.next < through:
            self._store.jump_to(through)

    def _on_progress(self, _: str, message: Progress) -> list[Send]:
        self._progress.take(message)
        return []

    def _accept(self, offset: int, data: bytes) -> list[bytes]:
        """Deliver a record and those that waited for it; returns what was delivered."""
        ready = self._store.offer(offset, data)
        for number, content in ready:
            self._deliver(number, content)
        return [content for _, content in ready]

    def _push(self, first: int, records: Sequence[bytes], origin: str) -> list[Send]:
        """Send records down the tree of ``origin`` in messages of at most a page."""
        children = self._tree.children(origin)
        effects: list[Send] = []
        for start, page in pages(first, records):
            message = PushRecords(start, page, origin)
            effects += [Send(child.address, message) for child in children]
        return effects

    def _forward(self, message: PushRecords, sender: str) -> list[Send]:
        children = self._tree.children(message.origin)
        return [Send(child.address, message) for child in children if child.address != sender]

    def _first_receipt(self, first: int, end: int) -> bool:
        """Remember a push; forwarding each once ends loops between trees of differing tables."""
        if (first, end) in self._forwarded:
            return False
        self._forwarded[first, end] = None
        if len(self._forwarded) > MAX_FORWARDED_PUSHES:
            del self._forwarded[next(iter(self._forwarded))]
        return True

    def _pull_if_due(self) -> list[Send]:
        address = self._repair.next_peer(self._store.next)
        return [] if address is None else [Send(address, PullRecords(self._store.next))]
