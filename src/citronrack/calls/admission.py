"""Concurrency limit of the local target with a bounded queue."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable

from attrs import define, field

from ..clock import Clock
from ._queue import AdmissionQueue, SlotRequest
from .notice import TargetStatement
from .pacer import COLD_BURST_S

CANCEL_CHECK_S = 0.1
"""How often a waiting call checks whether it was cancelled."""


class Refused(Exception):
    """A call got no slot and was not run.

    Args:
        reason: Reason for the refusal.
    """


@define(eq=False)
class Slot:
    """A slot of the target, held by one call.

    Attributes:
        cold: Whether the target was in its slow start.
        waited_s: Time that the call waited, in seconds.
    """

    cold: bool
    waited_s: float
    _call: SlotRequest
    _release: Callable[[SlotRequest, bool], None]
    _released: bool = field(default=False, init=False)

    def release(self, *, ran: bool = True) -> None:
        """Release the slot; repeated calls do nothing.

        Args:
            ran: Whether the target ran the call, so that its duration counts.
        """
        if not self._released:
            self._released = True
            self._release(self._call, ran)


@define(eq=False)
class _Waiter:
    """Wakes the thread of a waiting call."""

    ready: threading.Event = field(factory=threading.Event)


class Admission:
    """Assigns the slots of a target to calls.

    Args:
        slots: Number of calls that the target runs at once.
        clock: Source of time.
        ramp_s: Time over which a cold target gets all of its slots.
    """

    def __init__(self, *, slots: int, clock: Clock, ramp_s: float = 10.0) -> None:
        self._clock = clock
        self._queue = AdmissionQueue(slots=slots, ramp_s=ramp_s)
        self._lock = threading.Lock()
        self._waiters: dict[SlotRequest, _Waiter] = {}

    @property
    def load(self) -> int:
        """Calls that run or wait."""
        return self._queue.load

    def resize(self, slots: int) -> None:
        """Change the number of calls that the target runs at once."""
        with self._lock:
            self._queue.slots = slots
            woken = self._start_waiting(self._clock.monotonic())
        _wake(woken)

    @property
    def pause_s(self) -> float | None:
        """Time until the pace of the target lets a further call start, None without a limit."""
        return self._queue.pause_s(self._clock.monotonic())

    def apply(self, statement: TargetStatement) -> None:
        """Pace calls as the target states in its answers."""
        now = self._clock.monotonic()
        with self._lock:
            self._queue.pacer.set_limit(statement.limit_per_s, now)
            self._queue.unanswered_since = None if statement.answered else now
            woken = self._start_waiting(now)
        _wake(woken)

    def set_cold_rate(self, rate_per_s: float | None, *, burst_s: float = COLD_BURST_S) -> None:
        """Pace calls while the target is cold, beside the limit that it names itself.

        Args:
            rate_per_s: Calls a second, None for a warm target.
            burst_s: Time for which an unused rate is kept, in seconds.
        """
        now = self._clock.monotonic()
        with self._lock:
            running = self._queue.running
            self._queue.pacer.set_cold_rate(rate_per_s, now, burst_s=burst_s, running=running)
            woken = self._start_waiting(now)
        _wake(woken)

    def mark_cold(self) -> None:
        """Begin a slow start, after the target has started."""
        with self._lock:
            self._queue.cold_since = self._clock.monotonic()

    def acquire(
        self,
        *,
        route: str,
        deadline: float,
        weight: float = 1.0,
        priority: int = 0,
        soft_deadline: float = math.inf,
        cancel_reason: Callable[[], str] = lambda: "",
    ) -> Slot:
        """Wait for a slot.

        Args:
            route: Name of the route, for fairness.
            deadline: Monotonic time by which the call must have ended.
            weight: Share of slots relative to other routes.
            priority: Rank among waiting calls; 0 goes first.
            soft_deadline: Monotonic time by which the call should have ended.
            cancel_reason: Returns why the call was cancelled, empty while it was not.

        Raises:
            Refused: When the call gets no slot.
        """
        requested_at = self._clock.monotonic()
        call = SlotRequest(route, deadline, priority=priority, soft_deadline=soft_deadline)
        waiter: _Waiter | None = None
        with self._lock:
            reason = self._queue.offer(call, weight=weight, now=requested_at)
            if not reason and call.started is None:
                waiter = self._waiters[call] = _Waiter()
            woken = self._start_waiting(requested_at)
        _wake(woken)
        if reason:
            raise Refused(reason)
        if waiter is not None:
            self._wait(call, waiter, cancel_reason)
        if call.refusal:
            raise Refused(call.refusal)
        now = self._clock.monotonic()
        if now >= deadline:
            self._free(call, False)
            raise Refused("the deadline has passed")
        return Slot(self._queue.is_cold(now), now - requested_at, call, self._free)

    def _wait(self, call: SlotRequest, waiter: _Waiter, cancel_reason: Callable[[], str]) -> None:
        while True:
            now = self._clock.monotonic()
            left_s = call.deadline - now
            pace_s = self._queue.pacer.wait_s(now) or CANCEL_CHECK_S
            if waiter.ready.wait(max(0.0, min(CANCEL_CHECK_S, left_s, pace_s))):
                return
            with self._lock:
                woken = self._start_waiting(self._clock.monotonic())
            _wake(woken)
            reason = cancel_reason()
            if not reason and left_s > 0:
                continue
            with self._lock:
                if call not in self._waiters:
                    return  # It was started or refused in the meantime.
                self._queue.withdraw(call)
                del self._waiters[call]
            raise Refused(reason or "the deadline has passed")

    def _free(self, call: SlotRequest, ran: bool) -> None:
        with self._lock:
            started = self._queue.release(call, now=self._clock.monotonic(), ran=ran)
            woken = [self._waiters.pop(other) for other in started]
        _wake(woken)

    def _start_waiting(self, now: float) -> list[_Waiter]:
        """Start waiting calls; return their waiters, to be woken without the lock."""
        return [self._waiters.pop(call) for call in self._queue.start_waiting(now)]


def _wake(waiters: Iterable[_Waiter]) -> None:
    for waiter in waiters:
        waiter.ready.set()
