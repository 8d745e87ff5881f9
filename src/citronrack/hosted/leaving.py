"""Keeps the leaving that a node has acknowledged beyond the life of its process."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import Future

from attrs import evolve

from ..calls.target_identity import TargetIdentity
from ..clock import Clock
from ..codec import decode_stored, encode
from ..telemetry import Event, EventLog
from .entry import NodeEntry
from .publish import Write
from .store import MESH_TOPIC, KeyedRecord
from .target import OwnTargetTracker, TargetLeave

LEFT_PREFIX = "left/"

STORE_WAIT_S = 0.4
"""Longest time for which an acknowledgement waits for the store; targets time out after a second.
While the store is away, the acknowledgement rests on the entries that the other nodes hold."""

NOT_INFORMED = "the node does not know yet whether the target has left"


class LeaveKeeper:
    """Stores what this node has acknowledged, and takes it back after a restart.

    A late report must not undo an acknowledged leaving, also after a restart of this node, of its
    zone or of all nodes. So the leaving is written to the store before it is acknowledged and
    stands in the entry that the other nodes hold. A node that has just started takes no calls for
    its target until the store or another node has told it what it had acknowledged.

    Args:
        target: Tracks the state of the local target.
        name: Name of this node.
        clock: Source of time.
        events: Event log.
        submit: Writes a record to the store.
        is_informed: Returns whether this node holds the records of the store.
    """

    def __init__(
        self,
        target: OwnTargetTracker,
        *,
        name: str,
        clock: Clock,
        events: EventLog,
        submit: Callable[[Write], None],
        is_informed: Callable[[], bool],
    ) -> None:
        self._target = target
        self._clock = clock
        self._events = events
        self._submit = submit
        self._is_informed = is_informed
        self._key = LEFT_PREFIX + name
        self._written: TargetLeave | None = None
        self._stored: TargetLeave | None = None
        self._restored: TargetLeave | None = None
        self._waiting: list[tuple[float, Future[str]]] = []

    def restrict(self, identity: TargetIdentity) -> TargetIdentity:
        """Return the identity, with a refusal while it is unknown whether the target has left."""
        if identity.refusal or self._is_informed():
            return identity
        return evolve(identity, refusal=NOT_INFORMED)

    def keep(self) -> None:
        """Write the latest leaving to the store if it is not written yet."""
        left = self._target.left
        if left is None or left == self._written:
            return
        if left == self._restored and not self._is_informed():
            return  # The store may hold it already.
        self._written = left
        self._submit(Write(MESH_TOPIC, self._key, encode(left)))

    def write_again(self) -> None:
        """Write the latest leaving again after the store has returned from a copy."""
        if self._written is not None:
            self._submit(Write(MESH_TOPIC, self._key, encode(self._written)))

    def acknowledge(self, answer: Future[str]) -> None:
        """Answer the target once the store holds the leaving, or after `STORE_WAIT_S`."""
        if self._written == self._stored:
            answer.set_result("")
        else:
            self._waiting.append((self._clock.monotonic() + STORE_WAIT_S, answer))

    def on_tick(self) -> None:
        """Answer the targets that the store has let wait for too long."""
        now = self._clock.monotonic()
        self._answer([entry for entry in self._waiting if entry[0] <= now])

    def on_stored(self, record: KeyedRecord) -> None:
        """Handle a record that this node has written."""
        if record.key == self._key:
            self._stored = decode_leave(record.value)
            if self._written == self._stored:
                self._answer(self._waiting)

    def on_record(self, record: KeyedRecord) -> bool:
        """Handle a record of the store; return whether the state of the target changed."""
        leave = decode_leave(record.value)
        if record.key != self._key or leave is None:
            return False
        if self._written in (None, leave):
            self._written = self._stored = leave
        return self.restore(leave, source="store")

    def restore(self, leave: TargetLeave, *, source: str) -> bool:
        """Apply a leaving that an earlier process of this node has acknowledged.

        Args:
            leave: The leaving.
            source: Who has kept it.

        Returns:
            Whether the state of the target changed.
        """
        if leave == self._target.left:
            return False
        self._restored = leave
        self._events.write(
            Event.LEAVING_RESTORED,
            target_id=leave.target_id,
            started_ms=leave.started_ms,
            source=source,
        )
        return self._target.restore_leave(leave)

    def remove_records(self, expired: Iterable[NodeEntry]) -> None:
        """Remove the records of expired nodes."""
        for entry in expired:
            self._submit(
                Write(
                    MESH_TOPIC,
                    LEFT_PREFIX + entry.name,
                    None,
                    may_replace=lambda current: current is not None,
                    once=True,
                )
            )

    def _answer(self, due: list[tuple[float, Future[str]]]) -> None:
        self._waiting = [entry for entry in self._waiting if entry not in due]
        for _, answer in due:
            answer.set_result("")


def decode_leave(value: bytes | None) -> TargetLeave | None:
    """Return the leaving in a store value, None when it is absent or cannot be decoded."""
    return decode_stored(value, TargetLeave)
