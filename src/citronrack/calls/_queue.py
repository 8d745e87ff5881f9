"""The decisions of admission: who runs, who waits, who is refused; no threads, no clock."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from attrs import define, field

QUEUE_PER_SLOT = 8
"""Waiting calls per slot and route; more would wait longer than callers usually do."""

WAIT_MARGIN = 1.15
"""Factor on the expected time; without it, 108 of 1,214 admitted calls missed their deadline."""

INITIAL_SERVICE_S = 0.02
SERVICE_SMOOTHING = 0.1
ROUTE_ACTIVE_S = 10.0
LONG_SERVICE_RATIO = 4.0
MIN_SLOTS_FOR_RESERVE = 3
COLD_SLOT_FRACTION = 0.3


@define(eq=False)
class SlotRequest:
    """A call that holds or wants a slot.

    Attributes:
        route: Name of its route.
        deadline: Monotonic time by which it must have ended.
        priority: Rank among waiting calls; 0 goes first.
        soft_deadline: Monotonic time by which it should have ended to be of full use; a call that
            would end later is refused at once, so that others end in time.
        started: When it got its slot, None while it waits.
    """

    route: str
    deadline: float
    priority: int = 0
    soft_deadline: float = math.inf
    started: float | None = None
    withdrawn: bool = False


@define(eq=False)
class _RouteQueue:
    """Waiting calls of one route, the earliest deadline first.

    Attributes:
        weight: Share of slots relative to other routes.
        priority: Rank of its calls; 0 goes first.
        service_s: Recent mean time that a call holds its slot.
        served: Slot time that the route has used, divided by its weight.
        running: Slots that it holds.
        seen: When it last got a call.
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
        """Return the most urgent call."""
        while self.heap:
            _, _, call = heapq.heappop(self.heap)
            if not call.withdrawn:
                self.waiting -= 1
                return call
        return None


@define(eq=False)
class AdmissionQueue:
    """Slots of one target and the calls that wait for them.

    The route that has used the least slot time for its weight goes first, so a flood on one route
    delays the others by at most the rest of one running call. When a route's calls run much longer
    than those of another recent route, it leaves one slot free: short calls need not wait for a
    long one to end.

    Attributes:
        slots: Calls that the target runs at once when it is warm.
        ramp_s: Time in which a cold target gets all of its slots.
        cold_since: When the target started, None for a warm one.
    """

    slots: int
    ramp_s: float = 10.0
    cold_since: float | None = None
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
        """Return whether the target gets fewer calls than it has slots."""
        return self.cold_since is not None and now - self.cold_since < self.ramp_s

    def slot_limit(self, now: float) -> int:
        """Return the number of slots in use at most; it grows while the target is cold."""
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
        if not route.waiting and self._has_slot(route, now):
            self._start(route, call, now)
            return ""
        if route.waiting >= QUEUE_PER_SLOT * self.slots:
            return "the queue of the route is full"
        ends_at = now + self._expected_s(route, now)
        if ends_at > call.deadline:
            return "the deadline cannot be met"
        if ends_at > call.soft_deadline:
            return "the answer would be late"
        if not route.waiting:
            # An idle route must not save up claims for the time in which it had no calls.
            route.virtual_time = max(route.virtual_time, self._virtual_time)
        self._sequence += 1
        heapq.heappush(route.heap, (call.deadline, self._sequence, call))
        route.waiting += 1
        self._queued += 1
        return ""

    def withdraw(self, call: SlotRequest) -> None:
        """Remove a call that waits."""
        call.withdrawn = True
        self._routes[call.route].waiting -= 1
        self._queued -= 1

    def release(self, call: SlotRequest, *, now: float, ran: bool) -> list[SlotRequest]:
        """Free the slot of a call and return the calls that start now."""
        route = self._routes[call.route]
        self.running -= 1
        route.running -= 1
        held_s = now - (call.started if call.started is not None else now)
        route.virtual_time += (held_s - route.service_s) / route.weight  # corrects the estimate
        if ran:
            self._update_service_time(route, held_s)
        return self.start_waiting(now)

    def start_waiting(self, now: float) -> list[SlotRequest]:
        """Return the waiting calls that start now."""
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
            self._start(route, call, now)
            yield call

    def _start(self, route: _RouteQueue, call: SlotRequest, now: float) -> None:
        call.started = now
        self.running += 1
        route.running += 1
        route.virtual_time = max(route.virtual_time, self._virtual_time)
        self._virtual_time = route.virtual_time
        route.virtual_time += route.service_s / route.weight

    def _has_slot(self, route: _RouteQueue, now: float) -> bool:
        limit = self.slot_limit(now)
        if self.running >= limit:
            return False
        if limit < MIN_SLOTS_FOR_RESERVE or route.running < limit - 1:
            return True
        return not any(
            other is not route
            and now - other.last_offer_at < ROUTE_ACTIVE_S
            and other.service_s * LONG_SERVICE_RATIO < route.service_s
            for other in self._routes.values()
        )

    def _expected_s(self, route: _RouteQueue, now: float) -> float:
        """Return the likely time until a new call of the route has ended."""
        busy = [r for r in self._routes.values() if r.waiting or r.running or r is route]
        part = route.weight / sum(r.weight for r in busy)
        own_slots = max(1.0, self.slot_limit(now) * part)
        return WAIT_MARGIN * ((route.waiting + 1) * route.service_s / own_slots + route.service_s)
