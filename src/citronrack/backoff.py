"""Full-jitter exponential backoff."""

from __future__ import annotations

from random import Random

BACKOFF_BASE_S = 0.2
BACKOFF_CAP_S = 10.0
_MAX_DOUBLINGS = 16  # bounds the exponent; the cap is reached after 6 doublings


class Backoff:
    """Computes the delay before each retry.

    Each delay is uniform between 0 and a ceiling that doubles with each failure. This spreads the
    retries of many nodes that failed at the same moment.

    Args:
        random: Source of random numbers.
        cap_s: Largest ceiling, in seconds.

    Example:
        >>> backoff = Backoff(random=Random(1))
        >>> 0 <= backoff.next_s() <= 0.2
        True
    """

    def __init__(self, *, random: Random, cap_s: float = BACKOFF_CAP_S) -> None:
        self._cap_s = cap_s
        self._random = random
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of failures since the last success."""
        return self._failures

    def next_s(self) -> float:
        """Count a failure and return the delay before the next attempt, in seconds."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        self._failures += 1
        return self._random.uniform(0.0, min(self._cap_s, BACKOFF_BASE_S * 2.0**doublings))

    def reset(self) -> None:
        """Reset the delay after a success."""
        self._failures = 0
