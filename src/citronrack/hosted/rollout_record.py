"""Orders of rollouts, and the records of their state that nodes store and exchange."""

from __future__ import annotations

from enum import StrEnum

from attrs import evolve, field, frozen

from .. import validators
from ..codec import decode_stored, encode
from ..transport.messages import message_codec
from ..validators import MAX_NUMBER
from .position import MAX_POSITION, era_of
from .publish import Write
from .ramp import RAMP
from .store import MESH_TOPIC

ROLLOUT_PREFIX = "rollout/"

FIRST_REVISION = 1
"""Revision of the first record of an order."""

TERM_REVISIONS = 2**20
"""Revisions of a term. Holders of the previous release count a revision for each heartbeat, one a
second, so one that was cut off for days does not reach the next term."""

MAX_WITHDRAWN = 32
"""Withdrawn versions that a record names, the latest ones; targets of older ones are long gone."""


class Phase(StrEnum):
    """State of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


@frozen
class RolloutOrder:
    """A rollout that an operator has requested.

    Attributes:
        order_id: Position of the order in the store; an order with a greater one supersedes it.
        service: The service.
        target_version: Version that should receive the service's traffic.
        duration_s: Time within which all traffic should have moved, in seconds.
    """

    order_id: int
    service: str
    target_version: str
    duration_s: float

    def repeats(self, other: RolloutOrder) -> bool:
        """Return whether this order asks for the same, in a later era of the store."""
        later_era = era_of(self.order_id) > era_of(other.order_id)
        return later_era and evolve(self, order_id=other.order_id) == other


@message_codec.register("h-roll")
@frozen
class RolloutRecord:
    """State of a rollout, as stored and as exchanged between nodes.

    Attributes:
        order_id: Id of the order.
        service: The service.
        target_version: The new version.
        phase: A `Phase`.
        share: Fraction of calls routed to the new version.
        step: Index into the ramp.
        elapsed_ms: Time between the order and the writing of the record.
        holder: Name of the node that wrote the record.
        revision: Increases with each record of an order. A takeover and a decision begin a new
            term, see `next_term`.
        reason: Why the phase or share was chosen.
        reported: Whether the phase counts as reported to the operator for nodes of the previous
            release, which set it before the status was stored.
        withdrawn: Earlier versions that get no calls, oldest first: they were rolled back, or a
            later order replaced theirs before they were completed. An order that names one of them
            takes it off.
        confirmed: Whether the operator's status is known to show the decision.
    """

    order_id: int = field(validator=validators.between(0, MAX_POSITION))
    service: str
    target_version: str
    phase: str = field(validator=validators.one_of(*Phase))
    share: float = field(validator=validators.between(0.0, 1.0))
    step: int = field(validator=validators.between(0, len(RAMP) - 1))
    elapsed_ms: int = field(validator=validators.between(0, MAX_NUMBER))
    holder: str
    revision: int = field(validator=validators.between(0, MAX_NUMBER))
    reason: str = ""
    reported: bool = False
    withdrawn: tuple[str, ...] = ()
    confirmed: bool = False

    @property
    def decided(self) -> bool:
        """Whether the rollout has ended; the phase of its order never changes from then on."""
        return self.phase != Phase.RUNNING

    @property
    def _progress(self) -> tuple[bool, int, int]:
        """How far the rollout has come; it grows with each record of an order.

        After a return of the store, nodes that knew a later step and others may count up the same
        revisions, so the step goes first.
        """
        return self.decided, self.step, self.revision

    def supersedes(self, known: RolloutRecord | None) -> bool:
        """Return whether this record replaces a known one of the same service."""
        if known is None or self.order_id != known.order_id:
            return known is None or self.order_id > known.order_id
        if known.decided:
            return self.phase == known.phase and self.revision > known.revision
        return self._progress > known._progress

    def may_precede(self, known: RolloutRecord) -> bool:
        """Return whether a node that knows ``known`` as the newest record of an order may write the
        next one over this record.

        After a return of the store, two holders may have written records of one revision.
        """
        if known.decided or self._progress < known._progress:
            return True
        return (self._progress, self.holder) == (known._progress, known.holder)

    def encode(self) -> bytes:
        """Return the record as a store value."""
        return encode(self)


def next_term(revision: int) -> int:
    """Return the first revision of the next term.

    It is greater than all that a holder of the current term may still count up by itself.
    """
    return min((revision // TERM_REVISIONS + 1) * TERM_REVISIONS, MAX_NUMBER)


def decode_record(value: bytes | None) -> RolloutRecord | None:
    """Return the record in a store value, None when it is absent or cannot be decoded."""
    return decode_stored(value, RolloutRecord)


@frozen
class VersionShare:
    """Division of a service's calls between its versions.

    Attributes:
        target_version: The new version.
        share: Fraction of calls routed to the new version.
        order_id: Id of the order.
        withdrawn: Versions that get no calls.
    """

    target_version: str
    share: float
    order_id: int
    withdrawn: tuple[str, ...] = ()


def withdrawn_by(
    order: RolloutOrder, previous: RolloutRecord | None, skipped: tuple[str, ...] = ()
) -> tuple[str, ...]:
    """Return the versions that get no calls once an order is in force.

    Args:
        order: The order.
        previous: Last record of the order before it, None if there was none.
        skipped: Versions whose orders were replaced before they had a record.
    """
    versions = [*skipped]
    if previous is not None:
        versions += previous.withdrawn
        if previous.phase != Phase.COMPLETED:
            versions.append(previous.target_version)
    kept = dict.fromkeys(version for version in versions if version != order.target_version)
    return tuple(kept)[-MAX_WITHDRAWN:]


def follow(record: RolloutRecord, previous: RolloutRecord | None) -> RolloutRecord:
    """Return the first record of an order with the versions that those before it withdrew.

    The store decides which record is the last one of an earlier order, so this is done when the
    record is written. Other records are returned as they are.
    """
    if record.revision > FIRST_REVISION or previous is None:
        return record
    if previous.order_id >= record.order_id:
        return record
    order = RolloutOrder(record.order_id, record.service, record.target_version, 0.0)
    return evolve(record, withdrawn=withdrawn_by(order, previous, record.withdrawn))


@frozen
class Proposal:
    """A record to store, and what has to be stored for that.

    Attributes:
        record: The record.
        base: The record that it follows, None for the first one of an order; the record itself to
            write a decision again that the store may have lost.
        order_ids: All ids of the order: it gets another one when the operator writes it again after
            a return of the store from a copy.
    """

    record: RolloutRecord
    base: RolloutRecord | None
    order_ids: frozenset[int]

    def may_replace(self, stored: RolloutRecord | None) -> bool:
        """Return whether the record may replace the stored one.

        A decision stays as it is; only the id of its order may change.
        """
        record = self.record
        if stored is None or stored.order_id not in self.order_ids:
            return stored is None or stored.order_id < record.order_id
        if stored.decided:
            return stored.order_id < record.order_id and stored.phase == record.phase
        return self.base is not None and stored.may_precede(self.base)


def rollout_write(proposal: Proposal) -> Write:
    """Return the write of a proposal."""
    record = proposal.record
    key = ROLLOUT_PREFIX + record.service
    return Write(
        MESH_TOPIC,
        key,
        record.encode(),
        may_replace=lambda current: proposal.may_replace(decode_record(current)),
        revise=lambda current: follow(record, decode_record(current)).encode(),
        once=True,
    )
