"""How the share of a new version grows over the time of a rollout."""

from __future__ import annotations

from attrs import frozen

TIMEOUT_AT = 0.9
"""Part of the duration after which a rollout that is not finished is taken back."""

MIN_CALLS = 12
"""Calls of the new version without which no step is cleared."""


@frozen
class Step:
    """A point of the ramp.

    Attributes:
        at: Part of the duration from which the share holds.
        share: Part of the calls that the new version gets.
    """

    at: float
    share: float


RAMP = (Step(0.0, 0.04), Step(0.4, 0.2), Step(0.5, 0.45), Step(0.6, 1.0))
"""Shares over time. A bad version that shows itself only at the last step has had less than a tenth
of all calls of the whole duration until then."""

COMPLETE_AT = 0.72
"""Part of the duration after which a version that has all calls is done."""
