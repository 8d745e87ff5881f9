"""Orders of rollouts, and the records of their state that nodes store and exchange."""

from __future__ import annotations

from enum import StrEnum

from attrs import evolve, field, frozen

from .. import validators
from ..codec import decode, encode
from ..errors import MessageRejected
from ..transport.messages import message_codec
from ..validators import MAX_NUMBER
from .position import MAX_POSITION, era_of
from .publish import Write
from .ramp import RAMP
from .store import MESH_TOPIC

ROLLOUT_PREFIX = "rollout/"


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
        revision: Increases with each record of an order.
        reason: Why the phase or share was chosen.
        reported: Whether the phase has been reported to the operator.
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

    def encode(self) -> bytes:
        """Return the record as a store value."""
        return encode(self)


def decode_record(value: bytes | None) -> RolloutRecord | None:
    """Return the record in a store value, None when it is absent or cannot be decoded."""
    if value is None:
        return None
    try:
        return decode(value, RolloutRecord)
    except MessageRejected:
        return None


def rollout_write(record: RolloutRecord) -> Write:
    """Return the write of a record; it only replaces an older one."""

    def is_older(current: bytes | None) -> bool:
        known = decode_record(current)
        if known is None:
            return True
        return (known.order_id, known.revision) < (record.order_id, record.revision)

    key = ROLLOUT_PREFIX + record.service
    return Write(MESH_TOPIC, key, record.encode(), may_replace=is_older, once=True)
