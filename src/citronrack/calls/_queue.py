"""Admission decisions: which calls run, wait or are refused; without threads or a clock."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from attrs import define, field

from .pacer import Pacer

QUEUE_PER_SLOT = 8
"""Queue limit of a route per slot; more calls would wait longer than typical timeouts."""

WAIT_MARGIN = 1.15
"""Safety factor on the expected time; without it, 108 of 1,214 admitted calls missed their
deadline."""

INITIAL_SERVICE_S = 0.02
SERVICE_SMOOTHING = 0.1
ROUTE_ACTIVE_S = 10.0
LONG_SERVICE_RATIO = 4.0
MIN_SLOTS_FOR_RESERVE = 3
COLD_SLOT_FRACTION = 0.3

WOULD_BE_LATE = "the answer would be late"

UNANSWERED_SLOTS = 2
"""Calls that run at once at a target from which no answer has arrived: it may have a limit, which a
node that has started again does not know."""

UNANSWERED_S = 1.0
"""Longest time for which a target without an answer gets fewer calls."""


@define(eq=False)
class SlotRequest:
    """A call that waits for a slot or holds one.

    Attributes:
        route: Name of its route.
        deadline: Monotonic time by which it must have ended.
        priority: Rank among waiting calls; 0 goes first.
        soft_deadline: Monotonic time by which it should have ended; a call that is expected to end
            later is refused at once, so that others end in time.
        started: Monotonic time at which it got its slot, None while it waits.
        withdrawn: Whether it was removed from the queue before it got a slot.
        refusal: Why it was refused while it waited, empty if it was not.
    """

    route: str
    deadline: float
    priority: int = 0
    soft_deadline: float = math.inf
    started: float | None = None
    withdrawn: bool = False
    refusal: str = ""


@define(eq=False)
class _RouteQueue:
    """Waiting calls of one route, ordered by deadline.

    Attributes:
        weight: Share of slots relative to other routes.
        priority: Rank of its calls; 0 goes first.
        service_s: Recent mean time for which a call holds its slot.
        measured: Whether ``service_s`` has been measured.
        virtual_time: Slot time that the route has used, divided by its weight.
        running: Number of slots that it holds.
        last_offer_at: Monotonic time of its last call.
    """

    weight: float = 1.0
    priority: int = 0
    service_s: float = INITIAL_SERVICE_S
    measured: bool = False
    virtual_time: float = 0.0
    running: int = 0
    last_offer_at: float = -ROUTE_ACTIVE_S
    waiting: int = 0
    heap: list[tuple[float, int, SlotRequest]] = field(factory=list)

    def pop(self) -> SlotRequest | None:
        """Remove and return the call with the earliest deadline."""
        while self.heap:
            _, _, call = heapq.heappop(self.heap)
            if not call.withdrawn:
                self.waiting -= 1
                return call
        return None


@define(eq=False)
class AdmissionQueue:
    """Slots of one target and the calls that wait for them.

    Routes of equal priority share the slots by weighted fair queueing: the route with the least
    virtual time goes first, so a burst on one route delays the others by at most the rest of one
    running call. A route whose calls run much longer than those of another active route leaves one
    slot free, so that short calls do not wait for a long one to end.

    A target that names a limit gets its calls at that pace, which waiting calls use in the same
    order as free slots.

    Attributes:
        slots: Number of calls that the target runs at once when it is warm.
        ramp_s: Time over which a cold target gets all of its slots.
        cold_since: Monotonic time at which the target started, None for a warm one.
        unanswered_since: Monotonic time since which a target without an answer gets calls, None if
            it has answered.
        pacer: Limit of the target on the rate of calls.
    """

    slots: int
    ramp_s: float = 10.0
    cold_since: float | None = None
    unanswered_since: float | None = None
    pacer: Pacer = field(factory=Pacer, init=False)
    running: int = field(default=0, init=False)
    _routes: dict[str, _RouteQueue] = field(factory=dict, init=False)
    _virtual_time: float = field(default=0.0, init=False)
    _sequence: int = field(default=0, init=False)
    _queued: int = field(default=0, init=False)

    @property
    def load(self) -> int:
        """Calls that run or wait."""
        return self.running + self._queued

    def is_cold(self, now: float) -> bool:
        """Return whether the target is in its slow start, with fewer calls than slots."""
        return self.cold_since is not None and now - self.cold_since < self.ramp_s

    def pause_s(self, now: float) -> float | None:
        """Return the time until the pace lets a further call start, None without a limit."""
        if self.pacer.limit_per_s is None:
            return None
        return self.pacer.wait_s(now, ahead=self._queued)

    def slot_limit(self, now: float) -> int:
        """Return the current limit on slots in use; it grows while the target is cold."""
        if self.unanswered_since is not None and now - self.unanswered_since < UNANSWERED_S:
            return min(self.slots, UNANSWERED_SLOTS)
        if self.cold_since is None:
            return self.slots
        if not self.is_cold(now):
            self.cold_since = None
            return self.slots
        part = COLD_SLOT_FRACTION + (1 - COLD_SLOT_FRACTION) * (now - self.cold_since) / self.ramp_s
        return max(1, math.ceil(self.slots * part))

    def offer(self, call: SlotRequest, *, weight: float, now: float) -> str:
        """Start, queue or refuse a call.

        Returns:
            The reason for a refusal, empty when the call runs (``started`` is set) or waits.
        """
        route = self._routes.setdefault(call.route, _RouteQueue())
        route.weight = max(weight, 0.01)
        route.priority = call.priority
        route.last_offer_at = now
        if not self._must_queue(route) and self._has_slot(route, now):
            self._start(route, call, now)
            return ""
        if route.waiting >= QUEUE_PER_SLOT * self.slots:
            return "the queue of the route is full"
        ends_at = now + self._expected_duration_s(route, now)
        if ends_at > call.deadline:
            return "the deadline cannot be met"
        if ends_at > call.soft_deadline:
            return WOULD_BE_LATE
        if not route.waiting:
            # A route must not accumulate credit while it has no calls.
            route.virtual_time = max(route.virtual_time, self._virtual_time)
        self._sequence += 1
        heapq.heappush(route.heap, (call.deadline, self._sequence, call))
        route.waiting += 1
        self._queued += 1
        return ""

    def _must_queue(self, route: _RouteQueue) -> bool:
        """Return whether a new call lines up although a slot may be free.

        The pace of a target opens between the ends of calls, and calls that wait for it go first.
        """
        paced = self.pacer.limit_per_s is not None
        return bool(self._queued) if paced else bool(route.waiting)

    def withdraw(self, call: SlotRequest) -> None:
        """Remove a waiting call."""
        call.withdrawn = True
        self._routes[call.route].waiting -= 1
        self._queued -= 1

    def release(self, call: SlotRequest, *, now: float, ran: bool) -> list[SlotRequest]:
        """Free the slot of a call; return the waiting calls that start or are refused now."""
        route = self._routes[call.route]
        self.running -= 1
        route.running -= 1
        held_s = now - (call.started if call.started is not None else now)
        # Replaces the estimate that was charged at the start.
        route.virtual_time += (held_s - route.service_s) / route.weight
        if ran:
            self._update_service_time(route, held_s)
        return self.start_waiting(now)

    def start_waiting(self, now: float) -> list[SlotRequest]:
        """Start waiting calls while slots are free; return those that start or are refused.

        A call that would be late by now is refused and leaves its turn to the next one. It had been
        expected to end in time, but more urgent calls have passed it.
        """
        return list(self._start_waiting(now)) if self._queued else []

    def _update_service_time(self, route: _RouteQueue, held_s: float) -> None:
        if route.measured:
            route.service_s += SERVICE_SMOOTHING * (held_s - route.service_s)
        else:
            route.service_s, route.measured = held_s, True

    def _start_waiting(self, now: float) -> Iterator[SlotRequest]:
        while True:
            candidates = [
                route
                for route in self._routes.values()
                if route.waiting and self._has_slot(route, now)
            ]
            if not candidates:
                return
            route = min(candidates, key=lambda entry: (entry.priority, entry.virtual_time))
            call = route.pop()
            if call is None:
                return
            self._queued -= 1
            if now + route.service_s > call.soft_deadline:
                call.refusal = WOULD_BE_LATE
            else:
                self._start(route, call, now)
            yield call

    def _start(self, route: _RouteQueue, call: SlotRequest, now: float) -> None:
        call.started = now
        self.pacer.take(now)
        self.running += 1
        route.running += 1
        route.virtual_time = max(route.virtual_time, self._virtual_time)
        self._virtual_time = route.virtual_time
        route.virtual_time += route.service_s / route.weight

    def _has_slot(self, route: _RouteQueue, now: float) -> bool:
        limit = self.slot_limit(now)
        if self.running >= limit or self.pacer.wait_s(now):
            return False
        if limit < MIN_SLOTS_FOR_RESERVE or route.running < limit - 1:
            return True
        return not any(
            other is not route
            and now - other.last_offer_at < ROUTE_ACTIVE_S
            and other.service_s * LONG_SERVICE_RATIO < route.service_s
            for other in self._routes.values()
        )

    def _expected_duration_s(self, route: _RouteQueue, now: float) -> float:
        """Return the expected time in the queue and on the target for a new call of the route.

        Routes of lower priority take none of its slots while it has waiting calls.
        """
        busy = [
            other
            for other in self._routes.values()
            if other is route
            or ((other.waiting or other.running) and other.priority <= route.priority)
        ]
        part = route.weight / sum(r.weight for r in busy)
        own_slots = max(1.0, self.slot_limit(now) * part)
        slot_wait_s = (route.waiting + 1) * route.service_s / own_slots
        pace_wait_s = self.pacer.wait_s(now, ahead=sum(other.waiting for other in busy))
        return WAIT_MARGIN * (max(slot_wait_s, pace_wait_s) + route.service_s)
