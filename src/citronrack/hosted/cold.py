"""Decides how many calls a second the local target gets because it is cold."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..clock import Clock
from ..config import ConfigSet, Service
from ..telemetry import Event, EventLog
from .target import OwnTargetTracker, TargetReport

REPORTED = "report"
EVACUATED = "evacuation"

_NEVER_COLD = Service(name="")


class ColdPhase:
    """Follows whether the local target is cold, and paces its calls meanwhile.

    Reports are the only source of the time for which a target is cold: the health path of targets
    states it as well, but nodes do not call that path. After an evacuation of its zone, a target is
    cold for the whole time that its service states, whatever reports that were sent before say.

    Args:
        target: Tracks the state of the local target.
        config: Returns the configuration in force.
        clock: Source of time.
        events: Event log.
        set_rate: Called with the calls a second that the target gets, None while it is warm.
    """

    def __init__(
        self,
        target: OwnTargetTracker,
        *,
        config: Callable[[], ConfigSet],
        clock: Clock,
        events: EventLog,
        set_rate: Callable[[float | None], None],
    ) -> None:
        self._target = target
        self._config = config
        self._clock = clock
        self._events = events
        self._set_rate = set_rate
        self._applied_per_s: float | None = None
        self._rate_per_s: float | None = None
        self._evacuation_ended_at = -math.inf

    @property
    def rate_per_s(self) -> float | None:
        """Calls a second that the target gets, None while it is warm or not limited."""
        return self._rate_per_s

    def expect(self, report: TargetReport) -> None:
        """Pace calls before a report takes effect, from which on calls pass to its process."""
        rate = self._rate(report.service, self._clock.monotonic() + report.cold_s)
        if rate is not None:
            self._apply(rate if self._applied_per_s is None else min(rate, self._applied_per_s))

    def follow(self) -> None:
        """Apply the known state of the target and the configuration in force."""
        view = self._target.view
        service = view.report.service if view.report is not None else ""
        rate = self._rate(service, view.cold_until)
        self._apply(rate)
        if rate != self._rate_per_s:
            self._rate_per_s = rate
            self._log(service)

    def end_evacuation(self) -> None:
        """Take the target for cold; called before the evacuation of its zone ends."""
        self._evacuation_ended_at = self._clock.monotonic()
        self.follow()

    def _apply(self, rate_per_s: float | None) -> None:
        if rate_per_s != self._applied_per_s:
            self._applied_per_s = rate_per_s
            self._set_rate(rate_per_s)

    def _rate(self, service: str, reported_until: float) -> float | None:
        """Return the rate of a target of a service, None if it is warm or has none."""
        until = max(reported_until, self._assumed_until(service))
        if self._clock.monotonic() >= until:
            return None
        return self._service(service).cold_per_s or None

    def _assumed_until(self, service: str) -> float:
        return self._evacuation_ended_at + self._service(service).cold_start_s

    def _service(self, name: str) -> Service:
        return self._config().services.get(name, _NEVER_COLD)

    def _log(self, service: str) -> None:
        view = self._target.view
        target_id = view.report.target_id if view.report is not None else ""
        if self._rate_per_s is None:
            self._events.write(Event.TARGET_WARM, target_id=target_id)
            return
        assumed_until = self._assumed_until(service)
        self._events.write(
            Event.TARGET_COLD,
            target_id=target_id,
            limit_per_s=self._rate_per_s,
            cold_s=round(max(view.cold_until, assumed_until) - self._clock.monotonic(), 3),
            source=EVACUATED if assumed_until > view.cold_until else REPORTED,
        )
