"""Records of the ``records`` stream."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgpack
from attrs import frozen

from ..codec import MAX_MESSAGE_BYTES, TaggedCodec
from ..config import Change
from ..errors import MessageRejected

RECORDS_STREAM = "records"
SNAPSHOTS_STREAM = "snapshots"

record_codec = TaggedCodec()


class Duty(StrEnum):
    """A role that one node performs for the whole fleet under a lease."""

    COMPACTOR = "compactor"
    OUTCOMES = "outcomes"


class MoveResult(StrEnum):
    """How a move ended."""

    FINISHED_IN_TIME = "finished in time"
    FINISHED_LATE = "finished late"
    TAKEN_BACK = "taken back"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@frozen
class Envelope:
    """A record with the identity of its writer.

    Attributes:
        writer: ``node name/boot id`` of the writing process.
        sequence: Number of the append, per writer, from 1; a retried append keeps its number.
        written_ms: Wall time of the writer, informational only.
        body: One of the record classes of this module.
    """

    writer: str
    sequence: int
    written_ms: int
    body: Any


@record_codec.register("confirmed")
@frozen
class Confirmed:
    """An operator confirmed a plan.

    Attributes:
        plan_id: Digest of the plan's content.
        base_version: Configuration version that the plan is based on.
        change: Entries that the plan puts and removes.
        confirmed_ms: Wall time of the confirming node.
        expires_ms: Wall time after which the plan may not be confirmed.
        operator: Name of the operator.
    """

    plan_id: str
    base_version: int
    change: Change
    confirmed_ms: int
    expires_ms: int
    operator: str


@record_codec.register("cancelled")
@frozen
class Cancelled:
    """An operator cancelled a move; its route returns to the old service version."""

    move_id: str
    epoch: int
    operator: str


@record_codec.register("claim")
@frozen
class Claim:
    """A node claims a duty for a term; accepted when ``term`` is the current one plus 1."""

    duty: str
    term: int
    holder: str
    lease_ms: int


@record_codec.register("marked")
@frozen
class Marked:
    """A service version is marked as bad.

    Attributes:
        service: Name of the service.
        service_version: The bad version.
        epoch: Configuration version of the move's confirmation.
        reason: Description of the evidence.
        route: Route on which the regression was detected, empty for all routes.
        calls: Calls that the version had received in the zone.
        marked_ms: Wall time of the marking node.
        availability_zone: Zone of the marking node.
    """

    service: str
    service_version: str
    epoch: int
    reason: str
    route: str
    calls: int
    marked_ms: int
    availability_zone: str


@record_codec.register("outcome")
@frozen
class MoveOutcome:
    """How a move ended, written under the ``outcomes`` duty.

    Attributes:
        duty_term: Term of the writer's lease; the record is ignored unless it is the current one.
        move_id: The move.
        epoch: Configuration version of the move's confirmation.
        result: A value of `MoveResult`.
        detail: Reason with calls, route and zone, as text for operators.
        ended_ms: Wall time at which the move ended.
        missing_zones: Zones whose result is unknown, or whose calls are missing when the move is
            taken back.
        calls: Calls that the new service version received.
    """

    duty_term: int
    move_id: str
    epoch: int
    result: str
    detail: str
    ended_ms: int
    missing_zones: tuple[str, ...] = ()
    calls: int = 0


@record_codec.register("seeds")
@frozen
class SeedList:
    """Addresses of nodes of a zone that a starting node can contact."""

    availability_zone: str
    addresses: tuple[str, ...]


@record_codec.register("snapshot")
@frozen
class SnapshotTaken:
    """The snapshot of all records below ``through`` is at ``snapshot_offset`` of its stream."""

    duty_term: int
    through: int
    snapshot_offset: int


def encode_record(envelope: Envelope) -> bytes:
    """Return the bytes that are appended to the log."""
    body = record_codec.to_plain(envelope.body)
    plain = (envelope.writer, envelope.sequence, envelope.written_ms, body)
    return msgpack.packb(plain, use_bin_type=True)  # type: ignore[no-any-return]


def decode_record(data: bytes) -> Envelope:
    """Return the envelope that ``data`` encodes.

    Raises:
        MessageRejected: When the bytes are oversized, malformed or of an unknown kind.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageRejected("oversized")
    try:
        writer, sequence, written_ms, body = msgpack.unpackb(data, raw=False, use_list=False)
    except Exception as error:  # msgpack raises several unrelated error classes.
        raise MessageRejected("malformed") from error
    if not isinstance(writer, str) or type(sequence) is not int or type(written_ms) is not int:
        raise MessageRejected("malformed")
    return Envelope(writer, sequence, written_ms, record_codec.from_plain(body))
