"""Finds the other nodes through the addresses of the settings after a start."""

from __future__ import annotations

from random import Random

from ..clock import Clock

HOLD_S = 0.2
"""Time after the first question to a seed in which the store is not asked. A seed that runs answers
within two round trips; after a loss of all nodes, none has a configuration to give."""

YOUNG_S = 3.0
"""Time after a start in which a node exchanges more often. When all nodes start at once, each seed
first knows only some of them."""

RETRY_INTERVAL_S = 1.0
"""Pause between attempts after that time, while no other node is known."""


class SeedJoin:
    """Decides which seed is asked and when; has no sockets.

    The load pattern is a start of all nodes at once, which must not become a herd at the store or
    at one peer: each node asks one random seed, and another one only without an answer.

    Args:
        seeds: Addresses of nodes that may be stale or down, ``tcp://ip:port``.
        clock: Source of time.
        random: Source of random numbers.
    """

    def __init__(self, seeds: tuple[str, ...], *, clock: Clock, random: Random) -> None:
        self._seeds = random.sample(seeds, len(seeds))
        self._clock = clock
        self._hold_until: float | None = None
        self._young_until = clock.monotonic() + YOUNG_S if seeds else 0.0
        self._next_at = 0.0
        self._joined = not seeds

    @property
    def holding(self) -> bool:
        """Whether the store must not be asked yet."""
        if self._joined:
            return False
        return self._hold_until is None or self._clock.monotonic() < self._hold_until

    @property
    def young(self) -> bool:
        """Whether the node has started a moment ago."""
        return self._clock.monotonic() < self._young_until

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses of the seeds."""
        return tuple(self._seeds)

    @property
    def joined(self) -> bool:
        """Whether another node has answered, or there are no seeds."""
        return self._joined

    def on_answer(self) -> bool:
        """Record that another node is known; return whether it is the first one."""
        first, self._joined = not self._joined, True
        return first

    def next_seed(self) -> str | None:
        """Return the seed to ask now, None for none."""
        now = self._clock.monotonic()
        if self._joined or now < self._next_at:
            return None
        if self._hold_until is None:
            self._hold_until = now + HOLD_S
        elif now >= self._hold_until:
            self._next_at = now + RETRY_INTERVAL_S
        seed = self._seeds.pop(0)
        self._seeds.append(seed)
        return seed
