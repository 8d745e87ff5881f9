"""Rendezvous hashing: all nodes order names in the same way without communication."""

from __future__ import annotations

from functools import lru_cache

import xxhash


@lru_cache(maxsize=8192)
def weight(scope: str, name: str) -> int:
    """Return the rendezvous hash of a name, the same on all nodes.

    Args:
        scope: Purpose of the order; the orders of different scopes are independent.
        name: Name of a node.
    """
    return int(xxhash.xxh64_intdigest(f"{scope}/{name}".encode()))
