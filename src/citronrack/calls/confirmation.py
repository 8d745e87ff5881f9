"""How recently a configuration was known to be the newest."""

from __future__ import annotations

import math

from ..clock import Clock, SystemClock


class Confirmation:
    """The confirmations of one configuration.

    The core of the node writes it and call threads read it. A routing view holds the confirmation
    of its own configuration, so that what confirms a newer one does not count for an older view.

    Args:
        clock: Clock that keeps running while the instance is suspended.
        newest_s: Time within which a change is in force at nodes that have contact with the others;
            a configuration that was the newest this long ago holds every key that callers may use.
    """

    def __init__(self, clock: Clock | None = None, *, newest_s: float = math.inf) -> None:
        self._clock = clock if clock is not None else SystemClock()
        self._newest_s = newest_s
        self._confirmed_at = -math.inf
        self._refusal = ""

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was the newest for certain, infinite before that."""
        return self._clock.monotonic() - self._confirmed_at

    @property
    def is_recent(self) -> bool:
        """Whether the configuration holds every change that callers may rely on."""
        return not self._refusal and (self._newest_s == math.inf or self.age_s < self._newest_s)

    @property
    def refusal(self) -> str:
        """Why no key is accepted yet, empty if keys are."""
        return self._refusal

    def confirm(self, at: float) -> None:
        """Record that the configuration was the newest at a time of the clock."""
        self._confirmed_at = max(self._confirmed_at, at)

    def withhold(self, refusal: str) -> None:
        """Accept no key from now on for a reason, or accept keys again if it is empty."""
        self._refusal = refusal
