"""Which peer is asked for missing records, and when."""

from __future__ import annotations

from random import Random

from ..clock import Clock

JITTER_S = 0.5
REQUEST_TIMEOUT_S = 2.0
MAX_PEERS = 1_024
OFFSET_LIFETIME_S = 600.0


class Repair:
    """Keeps the offsets of peers and allows one request at a time.

    Args:
        clock: Source of time.
        random: Source of random numbers.
    """

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._offsets: dict[str, tuple[int, float]] = {}
        self._highest = 0
        self._due: float | None = None
        self._pending_peer = ""
        self._pending_since: float | None = None
        self._failed: set[str] = set()

    def observe(self, address: str, offset: int) -> None:
        """Note how far a peer is."""
        self._offsets.pop(address, None)
        self._offsets[address] = offset, self._clock.monotonic()
        self._highest = max(self._highest, offset)
        while len(self._offsets) > MAX_PEERS:
            del self._offsets[next(iter(self._offsets))]

    def offset_of(self, address: str) -> int | None:
        """Return the last offset of a peer, None when it was not heard."""
        entry = self._offsets.get(address)
        return None if entry is None else entry[0]

    def next_peer(self, next_offset: int) -> str | None:
        """Return the peer to ask now, None when nothing is missing or it is not yet time.

        The first request waits for a random time, because a push is often under way, and because
        many nodes learn at the same time that they are behind.
        """
        now = self._clock.monotonic()
        if self._pending_since is not None:
            if now < self._pending_since + REQUEST_TIMEOUT_S:
                return None
            self._failed.add(self._pending_peer)
            self._pending_since = None
        # The quick check matters: this runs with each ping, and the search takes 40 us for a zone.
        ahead = [] if self._highest <= next_offset else self._ahead_of(next_offset, now)
        if not ahead:
            self._due = None
            self._failed.clear()
            return None
        if self._due is None:
            self._due = now + self._random.uniform(0, JITTER_S)
        if now < self._due:
            return None
        fresh = [address for address in ahead if address not in self._failed]
        if not fresh:
            self._failed.clear()
        # The peers heard last are the likeliest to answer.
        choices = (fresh or ahead)[-4:]
        self._pending_peer = self._random.choice(choices)
        self._pending_since = now
        return self._pending_peer

    def _ahead_of(self, next_offset: int, now: float) -> list[str]:
        return [
            address
            for address, (offset, heard_at) in self._offsets.items()
            if offset > next_offset and now - heard_at < OFFSET_LIFETIME_S
        ]

    def record_answer(self, address: str) -> bool:
        """Note an answer; returns whether it is the one that was waited for."""
        expected = self._pending_since is not None and address == self._pending_peer
        if expected:
            self._pending_since = None
            self._failed.clear()
        return expected

    def record_request(self, address: str) -> None:
        """Note that the next request went to the same peer at once."""
        self._pending_peer, self._pending_since = address, self._clock.monotonic()

    def mark_failed(self, address: str) -> None:
        """Note that a peer's answer was of no use."""
        self._failed.add(address)
