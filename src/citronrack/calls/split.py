"""Deterministic division of calls between the two versions of a move."""

from __future__ import annotations

import xxhash

_RANGE = float(1 << 64)


def picks_new(call_key: str, move_id: str, share: float) -> bool:
    """Return whether the call goes to the new service version.

    The result depends on the arguments only. A call key that gets the new version at one share gets
    it at every larger share too.

    Args:
        call_key: Identifies the call and its nested calls.
        move_id: The move; two moves divide the same keys differently.
        share: Fraction of the calls that the new version gets, 0 to 1.
    """
    return share > 0.0 and hash_fraction(call_key, move_id) < share


def hash_fraction(call_key: str, purpose: str) -> float:
    """Return a hash of the arguments as a number from 0 to 1.

    Args:
        call_key: Identifies the call.
        purpose: Salt; the hashes for two purposes are independent.
    """
    return int(xxhash.xxh64_intdigest(f"{purpose}\0{call_key}".encode())) / _RANGE
