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
    """Work that one node does for the whole fleet, held under a lease."""

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
    """A record with its origin.

    Attributes:
        writer: ``node name/boot id`` of the writing process.
        sequence: Number of the append, per writer, from 1; a retried append keeps its number.
        written_ms: Wall time of the writer, for people only.
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
        base_version: Configuration version that the plan rests on.
        change: What the plan puts and removes.
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
    """A node claims a duty for the next term; accepted when ``term`` is the present one plus 1."""

    duty: str
    term: int
    holder: str
    lease_ms: int


@record_codec.register("marked")
@frozen
class Marked:
    """A service version showed itself as bad.

    Attributes:
        service: Name of the service.
        service_version: The bad release.
        epoch: Configuration version of the move's confirmation.
        reason: What the evidence showed.
        route: Route on which it showed, empty for all.
        calls: Calls that the release had received in the zone.
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
        duty_term: Term of the writer's lease; a lower one than the present is ignored.
        move_id: The move.
        epoch: Configuration version of the move's confirmation.
        result: A value of `MoveResult`.
        detail: Reason, route and calls for people.
        ended_ms: Wall time at which the move ended.
        missing_zones: Zones that were not heard, for an unknown result.
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
    """Addresses at which nodes of a zone can be met, for nodes that start."""

    availability_zone: str
    addresses: tuple[str, ...]


@record_codec.register("snapshot")
@frozen
class SnapshotTaken:
    """A snapshot through ``through`` stands in the snapshots stream at ``snapshot_offset``."""

    duty_term: int
    through: int
    snapshot_offset: int


def encode_record(envelope: Envelope) -> bytes:
    """Return the bytes that are appended to the log."""
    body = record_codec.to_plain(envelope.body)
    plain = (envelope.writer, envelope.sequence, envelope.written_ms, body)
    return msgpack.packb(plain, use_bin_type=True)  # type: ignore[no-any-return]


def decode_record(data: bytes) -> Envelope:
    """Return the envelope that ``data`` holds.

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
