"""Announces this node's entry to other nodes and keeps it registered in the store."""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve

from ..clock import Clock
from ..codec import decode_stored, encode
from ..rendezvous import weight
from ..validators import MAX_NUMBER
from .entry import RENEW_INTERVAL_S, NodeEntry, NodeTable
from .publish import Write
from .store import MESH_TOPIC, KeyedRecord
from .target import OwnTargetView, TargetLeave, TargetState

NODE_PREFIX = "node/"

REGISTRARS = 3
"""Nodes of each zone that keep their entry in the store; one that lives is enough to be found."""

_RANK_SCOPE = "registrars"


class Registration:
    """Entry of this node.

    The store only serves for discovery by nodes that no seed answers, for which a few entries are
    enough: a few nodes of each zone, the registrars, write theirs after the start, at renewals, and
    when the store has lost it. Other nodes receive each change directly.

    Args:
        own: Entry of this node before the first report of its target.
        table: Entries of all nodes.
        clock: Source of time.
        submit: Writes a record to the store.
        announce: Sends an entry to all nodes.
    """

    def __init__(
        self,
        own: NodeEntry,
        *,
        table: NodeTable,
        clock: Clock,
        submit: Callable[[Write], None],
        announce: Callable[[NodeEntry], None],
    ) -> None:
        self._entry = own
        self._table = table
        self._clock = clock
        self._submit = submit
        self._announce = announce
        self._renew_at = clock.monotonic() + RENEW_INTERVAL_S
        self._stored = False
        table.put(own)

    @property
    def entry(self) -> NodeEntry:
        """The entry as last announced."""
        return self._entry

    @property
    def key(self) -> str:
        """Key of this node's record in the store."""
        return NODE_PREFIX + self._entry.name

    def update(
        self,
        view: OwnTargetView,
        *,
        takes_calls: bool,
        limit_per_s: float | None = None,
        left: TargetLeave | None = None,
    ) -> bool:
        """Announce the state of the target if the entry changes; return whether it does.

        Args:
            view: Known state of the target.
            takes_calls: Whether this node routes calls to it.
            limit_per_s: Calls a second that it takes from all nodes together, None for no limit.
            left: The leaving that this node acknowledged last.
        """
        report = view.report
        entry = evolve(
            self._entry,
            service=report.service if report else "",
            service_version=report.service_version if report else "",
            target_id=report.target_id if report else "",
            slots=report.slots if report else 1,
            serving=view.state is TargetState.SERVING and takes_calls,
            limit_per_s=limit_per_s,
            target_started_ms=report.started_ms if report else 0,
            left_target_id=left.target_id if left else "",
            left_started_ms=(left.started_ms or 0) if left else 0,
        )
        if entry == self._entry:
            return False
        self._set_entry(evolve(entry, revision=entry.revision + 1))
        return True

    @property
    def is_registrar(self) -> bool:
        """Whether this node keeps its entry in the store."""
        zone = self._table.others_in(self._entry.availability_zone)
        own = _rank(self._entry)
        return sum(_rank(entry) < own for entry in zone) < REGISTRARS

    def store(self) -> None:
        """Write the entry to the store."""
        self._stored = True
        self._submit(Write(MESH_TOPIC, self.key, encode(self._entry)))

    def renew(self) -> None:
        """Announce a new revision of the entry when a renewal is due; write a registrar's entry."""
        due = self._clock.monotonic() >= self._renew_at
        if due:
            self._renew_at = self._clock.monotonic() + RENEW_INTERVAL_S
            self._set_entry(evolve(self._entry, revision=self._entry.revision + 1))
        if (due or not self._stored) and self.is_registrar:
            self.store()

    def reconcile(self, stored: bytes | None) -> None:
        """Write the entry again if the store has lost it or holds another start's entry."""
        if not self._stored:
            return
        entry = decode_entry(stored)
        if entry is not None and entry.boot > self._entry.boot:
            self.refute(entry)
        elif entry is None or entry.boot < self._entry.boot:
            self.store()

    def refute(self, other: NodeEntry) -> None:
        """Supersede a newer entry under this node's name.

        A process that started while the wall clock was ahead may have left a greater boot number.
        """
        if other.version > self._entry.version:
            self._set_entry(evolve(self._entry, boot=min(other.boot + 1, MAX_NUMBER), revision=0))
            if self._stored:
                self.store()

    def remove_records(self, expired: list[NodeEntry]) -> bool:
        """Remove the records of expired nodes; return whether it falls to this node.

        Only the node with the smallest name does so.
        """
        if min(entry.name for entry in self._table.entries()) != self._entry.name:
            return False
        for entry in expired:
            self._submit(_removal(entry))
        return True

    def _set_entry(self, entry: NodeEntry) -> None:
        self._entry = entry
        self._table.put(entry)
        self._announce(entry)


def entry_of(record: KeyedRecord) -> NodeEntry | None:
    """Return the entry of the node that a record is named after, None without a valid one."""
    entry = decode_entry(record.value)
    return entry if entry is not None and record.key == NODE_PREFIX + entry.name else None


def decode_entry(value: bytes | None) -> NodeEntry | None:
    """Return the entry in a store value, None when it is absent or cannot be decoded."""
    return decode_stored(value, NodeEntry)


def _rank(entry: NodeEntry) -> int:
    return weight(_RANK_SCOPE, entry.name)


def _removal(entry: NodeEntry) -> Write:
    """Return the write that removes a node's record unless the node has restarted."""

    def is_old(current: bytes | None) -> bool:
        stored = decode_entry(current)
        return stored is not None and stored.boot <= entry.boot

    return Write(MESH_TOPIC, NODE_PREFIX + entry.name, None, may_replace=is_old, once=True)
