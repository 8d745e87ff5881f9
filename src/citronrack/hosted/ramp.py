"""Steps by which the share of a new version increases during a rollout."""

from __future__ import annotations

from attrs import frozen

TIMEOUT_AT = 0.9
"""Fraction of the duration after which an unfinished rollout is rolled back."""

MIN_CALLS = 12
"""Calls to the new version that a step requires before the next one."""


@frozen
class Step:
    """A point of the ramp.

    Attributes:
        at: Fraction of the duration from which on the share applies.
        share: Fraction of calls routed to the new version.
    """

    at: float
    share: float


RAMP = (Step(0.0, 0.04), Step(0.4, 0.2), Step(0.5, 0.45), Step(0.6, 1.0))
"""Shares over time. A bad version that is only detected at the last step has received less than a
tenth of all calls of the duration until then."""

COMPLETE_AT = 0.72
"""Fraction of the duration after which a rollout at its last step is completed."""
