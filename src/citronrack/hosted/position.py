"""Positions in the topics of a store that may return from a copy.

After such a return the store gives out offsets again, so an offset alone neither orders records nor
identifies one. A position joins the era of the store, which counts its returns, with the offset.
Positions are plain numbers that grow with each record, also across returns, so they can be
compared and exchanged like offsets. All records of an earlier era are older than those of a later
one.
"""

from __future__ import annotations

_OFFSET_BITS = 40
"""A topic gets 400 records a second at most, which takes 87 years to exceed this."""

_OFFSET_MASK = (1 << _OFFSET_BITS) - 1

MAX_OFFSET = _OFFSET_MASK
MAX_ERA = 999_999
MAX_POSITION = MAX_ERA << _OFFSET_BITS | _OFFSET_MASK


def position_of(era: int, offset: int) -> int:
    """Return the position of an offset in an era of the store."""
    return era << _OFFSET_BITS | offset


def era_of(position: int) -> int:
    """Return how often the store had returned from a copy when it gave out a position."""
    return position >> _OFFSET_BITS


def offset_of(position: int) -> int:
    """Return the offset of a position within its era."""
    return position & _OFFSET_MASK


def position_fields(position: int, name: str = "offset") -> dict[str, int]:
    """Return the fields of a log line about a position."""
    return {name: offset_of(position), "era": era_of(position)}
