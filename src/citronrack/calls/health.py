"""Circuit breaker for the local target: refuses requests after failures and admits probes."""

from __future__ import annotations

import threading

from ..clock import Clock

PROBE_INTERVAL_S = 0.2
"""Time between probes of a failing target. It is a fraction of a second, because a recovered target
should be found quickly, while each failed probe costs a retry."""

NON_IDEMPOTENT_PROBE_INTERVAL_S = 1.0
"""Time after a failure during which no non-idempotent request is sent. Idempotent requests probe
the target meanwhile; if there are none, a non-idempotent one probes it afterwards."""

FAILURES_BEFORE_PACING = 2
"""Consecutive failures after which idempotent requests are limited to probes. A single response may
get lost on any target."""

LOST_REQUEST_REASON = "the target has just lost a request"


class TargetHealth:
    """Consecutive failures of the local target.

    A target that crashes, or that accepts and closes connections, fails every request for a while.
    A non-idempotent request that fails this way cannot be retried, although another target could
    have run it.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._target_id = ""
        self._failures = 0
        self._next_probe = 0.0
        self._next_non_idempotent = 0.0

    def record_success(self) -> None:
        """Record a response of the target."""
        if self._failures:
            with self._lock:
                self._failures = 0

    def record_failure(self, target_id: str) -> None:
        """Record a request that got no response or could not be sent.

        Args:
            target_id: Id of the target's process that the request was for.
        """
        with self._lock:
            now = self._clock.monotonic()
            self._failures = self._failures + 1 if target_id == self._target_id else 1
            self._target_id = target_id
            self._next_probe = now + PROBE_INTERVAL_S
            self._next_non_idempotent = now + NON_IDEMPOTENT_PROBE_INTERVAL_S

    def should_refuse(self, target_id: str, *, idempotent: bool) -> bool:
        """Return whether a request should go to another target.

        Args:
            target_id: Id of the target's current process.
            idempotent: Whether the request may run more than once.
        """
        if not self._failures or target_id != self._target_id:
            return False
        now = self._clock.monotonic()
        if not idempotent:
            return now < self._next_non_idempotent
        return self._failures >= FAILURES_BEFORE_PACING and now < self._next_probe

    def admit(self, target_id: str, *, idempotent: bool) -> bool:
        """Return whether a request may be sent now; one of several waiting requests is the probe.

        Args:
            target_id: Id of the target's current process.
            idempotent: Whether the request may run more than once.
        """
        if not self._failures:
            return True
        with self._lock:
            if self.should_refuse(target_id, idempotent=idempotent):
                return False
            now = self._clock.monotonic()
            self._next_probe = now + PROBE_INTERVAL_S
            self._next_non_idempotent = max(self._next_non_idempotent, now + PROBE_INTERVAL_S)
            return True
