"""Limits of record fields; they bound the folded state for any content of the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from .records import Claim, Confirmed, Duty, Envelope, Marked, MoveOutcome, SeedList, SnapshotTaken

MAX_TEXT = 1_024  # characters of a name, reason or detail
MAX_WRITER = 256  # characters
MAX_SEED_ADDRESSES = 32
MAX_MISSING_ZONES = 64
MIN_LEASE_MS = 1_000
MAX_LEASE_MS = 600_000

_DUTIES = frozenset(duty.value for duty in Duty)


def envelope_violation(envelope: Envelope) -> str:
    """Return which limit the writer or the sequence number of a record violates, empty for none."""
    if not 0 < len(envelope.writer) <= MAX_WRITER or envelope.sequence < 1:
        return "writer or sequence is out of range"
    return ""


def body_violation(offset: int, body: Any) -> str:
    """Return which limit the body of a record violates, empty for none.

    Args:
        offset: Offset of the record.
        body: The body.
    """
    for attribute in attrs.fields(type(body)):
        value = getattr(body, attribute.name)
        if isinstance(value, str) and len(value) > MAX_TEXT:
            return f"{attribute.name} is longer than {MAX_TEXT} characters"
    check = _CHECKS.get(type(body))
    return check(offset, body) if check is not None else ""


def _check_confirmed(offset: int, body: Confirmed) -> str:
    return "" if body.plan_id else "plan id is empty"


def _check_claim(offset: int, body: Claim) -> str:
    if body.duty not in _DUTIES:
        return f"duty {body.duty[:40]!r} does not exist"
    if not MIN_LEASE_MS <= body.lease_ms <= MAX_LEASE_MS:
        return f"lease_ms must be {MIN_LEASE_MS} to {MAX_LEASE_MS}"
    return "" if body.holder else "holder is empty"


def _check_marked(offset: int, body: Marked) -> str:
    # An epoch is the offset of an earlier record; a greater one would hide all later marks.
    return "" if 0 <= body.epoch < offset else "epoch is not an earlier version"


def _check_outcome(offset: int, body: MoveOutcome) -> str:
    if len(body.missing_zones) > MAX_MISSING_ZONES:
        return f"more than {MAX_MISSING_ZONES} missing zones"
    return "" if all(len(zone) <= MAX_TEXT for zone in body.missing_zones) else "zone name too long"


def _check_seeds(offset: int, body: SeedList) -> str:
    if len(body.addresses) > MAX_SEED_ADDRESSES:
        return f"more than {MAX_SEED_ADDRESSES} seed addresses"
    return "" if all(len(seed) <= MAX_TEXT for seed in body.addresses) else "address too long"


def _check_snapshot_taken(offset: int, body: SnapshotTaken) -> str:
    in_range = 0 <= body.through <= offset and body.snapshot_offset >= 0
    return "" if in_range else "snapshot lies outside of the log"


_CHECKS: dict[type[Any], Callable[[int, Any], str]] = {
    Confirmed: _check_confirmed,
    Claim: _check_claim,
    Marked: _check_marked,
    MoveOutcome: _check_outcome,
    SeedList: _check_seeds,
    SnapshotTaken: _check_snapshot_taken,
}
