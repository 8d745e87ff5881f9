"""A hash by which all nodes order names in the same way without an exchange."""

from __future__ import annotations

from functools import lru_cache

import xxhash


@lru_cache(maxsize=8192)
def weight(scope: str, name: str) -> int:
    """Return the rendezvous hash of a name, the same on all nodes.

    Args:
        scope: What the order is for; orders of different scopes are independent of each other.
        name: Name of a node.
    """
    return int(xxhash.xxh64_intdigest(f"{scope}/{name}".encode()))
