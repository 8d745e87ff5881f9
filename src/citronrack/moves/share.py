"""The share of a route's calls that the new service version receives."""

from __future__ import annotations

import xxhash

from ..calls.view import RouteShare
from ..config import Move

_HASH_RANGE = 1 << 64


def step_index(move: Move, now_ms: int) -> int:
    """Return the index of the step that is due by time, -1 before the start."""
    return sum(step.at_ms <= now_ms for step in move.steps) - 1


def share_of(move: Move, now_ms: int, cleared_step: int, marked: bool) -> float:
    """Return the share of the new version.

    Args:
        move: The move.
        now_ms: Wall time.
        cleared_step: Number of steps that the zone has cleared.
        marked: Whether the new version is marked as bad.
    """
    index = min(step_index(move, now_ms), cleared_step)
    if marked or index < 0:
        return 0.0
    share = move.steps[index].share
    return share if cleared_step > 0 else min(share, move.unproven_share)


def picks_new(call_key: str, move: Move | RouteShare, share: float) -> bool:
    """Return whether a call is routed to the new version.

    The same key gets the same version at the same share, and a key that gets the new version
    keeps it while the share increases.

    Args:
        call_key: Key of the call, from its context.
        move: The move or its share; only the move id is used.
        share: Share of the new version, 0 to 1.
    """
    return xxhash.xxh64_intdigest(f"{move.move_id}/{call_key}".encode()) < share * _HASH_RANGE


def in_time(move: Move, full_ms: int, *, tolerance_ms: int) -> bool:
    """Return whether a zone that reached the full share at ``full_ms`` met the deadline.

    Args:
        move: The move.
        full_ms: Time of the full share, by the wall clock of a node of the zone.
        tolerance_ms: Largest difference between wall clocks that does not make the move late.
    """
    return full_ms <= move.deadline_ms + tolerance_ms
