"""Simpler controllers of a ramp, for comparison with `MoveCore`."""

from __future__ import annotations

from collections import deque

from attrs import define, field

from ..moves import Policy

WINDOW_S = 10.0
WINDOW_MIN_CALLS = 20
REACTION_S = 1.0  # time in which a mark reaches other zones


@define
class TimedRamp:
    """Follows the steps by time, regardless of failures.

    Attributes:
        policy: Policy that defines the ramp.
        deadline_s: Time from the start of the move to its deadline.
    """

    policy: Policy
    deadline_s: float

    def share(self, age_s: float) -> float:
        """Return the share of the step that the time has reached."""
        reached = [s.share for s in self.policy.ramp if age_s >= s.at * self.deadline_s]
        return reached[-1] if reached else 0.0

    def observe(self, age_s: float, calls: int, failures: int) -> None:
        """Do nothing."""


@define
class ThresholdRamp:
    """Follows the steps by time until the new version's error rate exceeds a limit.

    Attributes:
        policy: Policy that defines the ramp.
        deadline_s: Time from the start of the move to its deadline.
        limit: Fraction of failed calls in `WINDOW_S` seconds, fleet-wide, above which the version
            is taken back.
        taken_back_s: Time at which it was taken back, None before.
    """

    policy: Policy
    deadline_s: float
    limit: float = 0.05
    taken_back_s: float | None = None
    _window: deque[tuple[float, int, int]] = field(factory=deque, init=False)

    def share(self, age_s: float) -> float:
        """Return the share of the step that the time has reached, 0 after taking back."""
        if self.taken_back_s is not None and age_s >= self.taken_back_s + REACTION_S:
            return 0.0
        return TimedRamp(self.policy, self.deadline_s).share(age_s)

    def observe(self, age_s: float, calls: int, failures: int) -> None:
        """Compare the rate in the window with the limit."""
        self._window.append((age_s, calls, failures))
        while self._window[0][0] < age_s - WINDOW_S:
            self._window.popleft()
        total = sum(entry[1] for entry in self._window)
        failed = sum(entry[2] for entry in self._window)
        above = total >= WINDOW_MIN_CALLS and failed > self.limit * total
        if above and self.taken_back_s is None:
            self.taken_back_s = age_s
