"""What this node tells others of itself, and keeps in the store so that they find it."""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve

from ..clock import Clock
from ..codec import decode, encode
from ..errors import MessageRejected
from .entry import RENEW_INTERVAL_S, NodeEntry, NodeTable
from .publish import Write
from .store import MESH_TOPIC
from .target import OwnTargetView, TargetState

NODE_PREFIX = "node/"


class Registration:
    """The own entry.

    The store serves for finding addresses only: it gets the entry at the start, when it has lost
    it, and at renewals. Other nodes get each change at once.

    Args:
        own: Entry of this node before its target has reported.
        table: Entries of all nodes.
        clock: Source of time.
        submit: Writes a record to the store.
        announce: Tells an entry to all nodes.
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
        self._renew_at = 0.0
        table.put(own)

    @property
    def entry(self) -> NodeEntry:
        """The entry as it was last told."""
        return self._entry

    @property
    def key(self) -> str:
        """Key of the own record in the store."""
        return NODE_PREFIX + self._entry.name

    def update(self, view: OwnTargetView, *, takes_calls: bool) -> bool:
        """Tell a change of the target; return whether there is one.

        Args:
            view: What is known of the target.
            takes_calls: Whether this node gives calls to it.
        """
        report = view.report
        entry = evolve(
            self._entry,
            service=report.service if report else "",
            service_version=report.service_version if report else "",
            target_id=report.target_id if report else "",
            slots=report.slots if report else 1,
            serving=view.state is TargetState.SERVING and takes_calls,
        )
        if entry == self._entry:
            return False
        self._set_entry(evolve(entry, revision=entry.revision + 1))
        return True

    def store(self) -> None:
        """Write the entry to the store."""
        self._renew_at = self._clock.monotonic() + RENEW_INTERVAL_S
        self._submit(Write(MESH_TOPIC, self.key, encode(self._entry)))

    def renew(self) -> None:
        """Tell and write the entry again when that is due."""
        if self._clock.monotonic() >= self._renew_at:
            self._set_entry(evolve(self._entry, revision=self._entry.revision + 1))
            self.store()

    def reconcile(self, stored: bytes | None) -> None:
        """Write the entry again when the store has lost it or holds another start's."""
        entry = decode_entry(stored)
        if entry is not None and entry.boot > self._entry.boot:
            self.refute(entry)
        elif entry is None or entry.boot < self._entry.boot:
            self.store()

    def refute(self, told: NodeEntry) -> None:
        """Answer an entry of this node's name that is not the present one.

        A process that started while the wall clock was ahead may have left a greater boot number.
        """
        if told.version > self._entry.version:
            self._set_entry(evolve(self._entry, boot=told.boot + 1, revision=0))
            self.store()

    def remove_records(self, expired: list[NodeEntry]) -> None:
        """Remove the records of nodes that have expired, if it is this node's turn."""
        if min(entry.name for entry in self._table.entries()) == self._entry.name:
            for entry in expired:
                self._submit(_removal(entry))

    def _set_entry(self, entry: NodeEntry) -> None:
        self._entry = entry
        self._table.put(entry)
        self._announce(entry)


def decode_entry(value: bytes | None) -> NodeEntry | None:
    """Return the entry in a store value, None for none or one that cannot be read."""
    if value is None:
        return None
    try:
        return decode(value, NodeEntry)
    except MessageRejected:
        return None


def _removal(entry: NodeEntry) -> Write:
    """Return the write that removes a node's record unless the node has started again."""

    def is_old(present: bytes | None) -> bool:
        stored = decode_entry(present)
        return stored is not None and stored.boot <= entry.boot

    return Write(MESH_TOPIC, NODE_PREFIX + entry.name, None, may_replace=is_old, once=True)
