"""Which side of a move a call goes to."""

from __future__ import annotations

import xxhash

_RANGE = float(1 << 64)


def picks_new(call_key: str, move_id: str, share: float) -> bool:
    """Return whether the call goes to the new service version.

    The result depends on the arguments only, and a call key that gets the new side at one share
    gets it at every greater share too.

    Args:
        call_key: Identifies the call and everything that it causes.
        move_id: The move; two moves divide the same keys differently.
        share: Part of the calls that the new side gets, 0 to 1.
    """
    return share > 0.0 and hash_fraction(call_key, move_id) < share


def hash_fraction(call_key: str, purpose: str) -> float:
    """Return a number from 0 to 1 that depends on the arguments only.

    Args:
        call_key: Identifies the call.
        purpose: What the number decides; two purposes get independent numbers.
    """
    return int(xxhash.xxh64_intdigest(f"{purpose}\0{call_key}".encode())) / _RANGE
