"""Whether the own target has just lost requests, and which ones try it out."""

from __future__ import annotations

import threading

from ..clock import Clock

PROBE_INTERVAL_S = 0.2
"""Time between requests that try out a target which loses all of them. A target that is up again
has to be found within a part of a second; each trial that fails costs a retry."""

NON_IDEMPOTENT_PROBE_INTERVAL_S = 1.0
"""Time after a lost request in which the target gets none that must not run twice. Requests that
may be repeated try it out meanwhile; where there are none, one of the others has to."""

FAILURES_BEFORE_PACING = 2
"""Lost requests in a row after which trials are paced; a single answer may get lost anywhere."""

LOST_REQUEST_REASON = "the target has just lost a request"


class TargetHealth:
    """Requests that the own target has lost since its last answer.

    A target that crashes, or that takes connections and ends them, loses every request for a while.
    One that may not run twice fails then for good, although other targets could have run it.

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
        """Note an answer of the target."""
        if self._failures:
            with self._lock:
                self._failures = 0

    def record_failure(self, target_id: str) -> None:
        """Note a request that ended without an answer, or that could not be sent.

        Args:
            target_id: Id of the start of the target that the request was for.
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
            target_id: Id of the present start of the target.
            idempotent: Whether the request may run more than once.
        """
        if not self._failures or target_id != self._target_id:
            return False
        now = self._clock.monotonic()
        if not idempotent:
            return now < self._next_non_idempotent
        return self._failures >= FAILURES_BEFORE_PACING and now < self._next_probe

    def admit(self, target_id: str, *, idempotent: bool) -> bool:
        """Return whether a request may be sent now; of those that wait one tries the target out.

        Args:
            target_id: Id of the present start of the target.
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
