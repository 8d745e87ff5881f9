"""A queueing model of targets and callers in simulated time, for comparing balancing policies."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random

from attrs import define, field

from ..calls import Balancer, PoolTarget
from ..calls._queue import AdmissionQueue, SlotRequest
from ..calls.target_stats import TargetStats
from ..clock import ManualClock

POOL_KEY = ("catalogue", "1")
TIMEOUT_S = 0.5
MEMBERSHIP_DELAY_S = 1.0  # age at which load and departures reach other nodes
FAILURE_S = 0.001


@define(eq=False)
class ModelTarget:
    """One target behind the admission of its node.

    Attributes:
        name: Its name.
        availability_zone: Its zone.
        slots: Number of calls that it runs concurrently.
        service_s: Mean service time.
        failing: Probability that a call fails at once.
        fake_load: Load that its responses and membership report, None for the actual load.
        alive: Whether it accepts connections.
        queue: Admission queue of its node.
    """

    name: str
    availability_zone: str
    slots: int = 6
    service_s: float = 0.02
    failing: float = 0.0
    fake_load: int | None = None
    alive: bool = True
    queue: AdmissionQueue = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.queue = AdmissionQueue(slots=self.slots)

    @property
    def claimed_load(self) -> int:
        """Load that it reports."""
        return self.queue.load if self.fake_load is None else self.fake_load


@define(eq=False)
class _Call:
    """A call in progress."""

    started_at: float
    caller: int
    entry: TargetStats
    target: ModelTarget
    waiting: SlotRequest
    attempts: int


@define
class Result:
    """Results of the calls, from the view of the callers.

    Attributes:
        seconds: Simulated time.
        latencies_s: Latency of each successful call.
        failed: Calls that failed at a target.
        refused: Calls that no target accepted.
        late: Responses after the timeout.
    """

    seconds: float
    latencies_s: list[float] = field(factory=list)
    failed: int = 0
    refused: int = 0
    late: int = 0

    @property
    def goodput(self) -> float:
        """Successful calls per second."""
        return len(self.latencies_s) / self.seconds


@define(eq=False)
class Model:
    """Nodes that send calls to a pool of targets, as a discrete-event simulation.

    Attributes:
        policy: Name of the policy.
        seed: Seed of all random numbers.
        targets: The pool.
        zones: Zone of each calling node.
        weights: Relative number of calls of each calling node.
        rate: Calls per second in total.
        link_one_way_s: Delay between zones.
    """

    policy: str
    seed: int
    targets: list[ModelTarget]
    zones: list[str]
    weights: list[float]
    rate: float
    link_one_way_s: float = 0.0035
    clock: ManualClock = field(factory=ManualClock)
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list, init=False)
    _order: itertools.count[int] = field(factory=itertools.count, init=False)
    _random: Random = field(init=False)
    _balancers: list[Balancer] = field(init=False)
    _pool: tuple[PoolTarget, ...] = field(default=(), init=False)
    _result: Result = field(init=False)
    _waiting: dict[int, _Call] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        self._balancers = [
            Balancer(
                policy=self.policy,
                availability_zone=zone,
                link_rtt_s=2 * self.link_one_way_s,
                clock=self.clock,
                random=Random(f"{self.seed}/{index}"),
            )
            for index, zone in enumerate(self.zones)
        ]

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, seconds: float) -> Result:
        """Run the model and return the results of the calls."""
        self._result = Result(seconds)
        self._refresh()
        self.at(0.0, self._on_arrival)
        while self._events and self._events[0][0] < seconds:
            when, _, action = heapq.heappop(self._events)
            self.clock.advance(when - self.clock.monotonic())
            action()
        return self._result

    def _refresh(self) -> None:
        """Update the view of the pool, as membership would, and schedule the next update."""
        self._pool = tuple(
            PoolTarget(
                name=target.name,
                deliver_address=("10.0.0.1", index),
                availability_zone=target.availability_zone,
                slots=target.slots,
                load=target.claimed_load,
                load_age_s=MEMBERSHIP_DELAY_S,
            )
            for index, target in enumerate(self.targets)
            if target.alive
        )
        self.at(self.clock.monotonic() + MEMBERSHIP_DELAY_S, self._refresh)

    def _on_arrival(self) -> None:
        now = self.clock.monotonic()
        self.at(now + self._random.expovariate(self.rate), self._on_arrival)
        caller = self._random.choices(range(len(self.zones)), self.weights)[0]
        self._attempt(now, caller, attempts=1, excluded=())

    def _attempt(
        self, started_at: float, caller: int, *, attempts: int, excluded: tuple[str, ...]
    ) -> None:
        entry = self._balancers[caller].choose(POOL_KEY, self._pool, excluded=excluded)
        if entry is None:
            self._result.refused += 1
            return
        target = next(t for t in self.targets if t.name == entry.target.name)
        waiting = SlotRequest("route", started_at + TIMEOUT_S)
        call = _Call(started_at, caller, entry, target, waiting, attempts)
        delay = self._delay(call)
        self.at(self.clock.monotonic() + delay, lambda: self._on_target_reached(call))

    def _delay(self, call: _Call) -> float:
        is_same_zone = self.zones[call.caller] == call.target.availability_zone
        return 0.0002 if is_same_zone else self.link_one_way_s

    def _on_target_reached(self, call: _Call) -> None:
        now = self.clock.monotonic()
        if not call.target.alive:
            self._complete_call(call, status=0)
            return
        if self._random.random() < call.target.failing:
            self.at(
                now + FAILURE_S + self._delay(call), lambda: self._complete_call(call, status=500)
            )
            return
        if call.target.queue.offer(call.waiting, weight=1, now=now):
            self.at(now + self._delay(call), lambda: self._complete_call(call, status=503))
            return
        self._waiting[id(call.waiting)] = call
        if call.waiting.started is not None:
            self._start_service(call)

    def _start_service(self, call: _Call) -> None:
        service = self._random.expovariate(1 / call.target.service_s)
        self.at(self.clock.monotonic() + service, lambda: self._complete_service(call))

    def _complete_service(self, call: _Call) -> None:
        now = self.clock.monotonic()
        del self._waiting[id(call.waiting)]
        for waiting in call.target.queue.release(call.waiting, now=now, ran=True):
            self._start_service(self._waiting[id(waiting)])
        status = 200 if call.target.alive else 0
        self.at(now + self._delay(call), lambda: self._complete_call(call, status=status))

    def _complete_call(self, call: _Call, *, status: int) -> None:
        now = self.clock.monotonic()
        answered = status in (200, 500)
        self._balancers[call.caller].record_end(
            call.entry,
            latency_s=now - call.started_at if answered and call.attempts == 1 else None,
            failed=status in (0, 500),
            load=call.target.claimed_load if status else None,
        )
        if status == 200:
            if now - call.started_at <= TIMEOUT_S:
                self._result.latencies_s.append(now - call.started_at)
            else:
                self._result.late += 1
        elif status == 500:
            self._result.failed += 1
        elif call.attempts == 1 and now - call.started_at < TIMEOUT_S / 2:
            self._attempt(call.started_at, call.caller, attempts=2, excluded=(call.target.name,))
        else:
            self._result.refused += 1
