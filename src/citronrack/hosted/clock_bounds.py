"""Bounds on the clocks of other nodes, which show how long a message has been on its way."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define

MAX_DRIFT = 2e-4
"""Largest relative difference of the rates of two clocks; crystals stay below 100 ppm each."""

STABLE_S = 1.0
"""Time for which no message must have been faster than the fastest one before. Messages that have
waited together, as in the socket of a suspended process, arrive faster than they were sent."""

TOLERANCE_S = 0.05
"""Jitter of messages, which does not count as faster. Messages of one sender that are used here are
sent at longer intervals."""

MAX_SENDERS = 16


@define(eq=False)
class _Bound:
    """What is known of one sender's clock.

    Attributes:
        offset_s: Own time minus the sender's time, at most, as the fastest message shows.
        updated_at: Own time of the last message.
        stable_since: Own time since which no message was faster than the fastest one before.
    """

    offset_s: float
    updated_at: float
    stable_since: float


class ClockBounds:
    """Converts times of other nodes' clocks to the own clock, never to a later time than the true
    one by more than the delay of the fastest message."""

    def __init__(self) -> None:
        self._bounds: OrderedDict[tuple[str, int], _Bound] = OrderedDict()

    def offset_s(self, sender: tuple[str, int], *, sent_at: float, now: float) -> float | None:
        """Record a message; return what to add to the sender's times, None while it is unknown.

        Args:
            sender: Name of the node and start of its process.
            sent_at: Time of sending by the sender's clock.
            now: Time of receipt by the own clock.
        """
        offset_s = now - sent_at
        bound = self._bounds.setdefault(sender, _Bound(offset_s, now, now))
        self._bounds.move_to_end(sender)
        if len(self._bounds) > MAX_SENDERS:
            self._bounds.popitem(last=False)
        drift_s = MAX_DRIFT * (now - bound.updated_at)
        if offset_s < bound.offset_s - drift_s - TOLERANCE_S:
            bound.stable_since = now
        bound.offset_s, bound.updated_at = min(offset_s, bound.offset_s + drift_s), now
        return bound.offset_s if now - bound.stable_since >= STABLE_S else None
