"""An order of members that each node computes for itself."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ..membership.member import Member


def ranking(members: Iterable[Member]) -> list[Member]:
    """Return the members in rendezvous-hash order; the first ones read the log."""
    return sorted(members, key=_rank, reverse=True)


def _rank(member: Member) -> tuple[int, str]:
    text = f"{member.availability_zone}/{member.name}"
    return xxhash.xxh64_intdigest(text.encode()), member.name
