"""A queue model of targets and callers in manual time, for comparing balancing policies."""

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
        slots: Calls that it runs at once.
        service_s: Mean service time.
        failing: Chance that a call fails at once.
        fake_load: Load that its answers and membership claim, None for the truth.
        alive: Whether it accepts connections.
        queue: Admission at its node.
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
        """Load that it tells."""
        return self.queue.load if self.fake_load is None else self.fake_load


@define(eq=False)
class _Call:
    """A call under way."""

    started_at: float
    caller: int
    entry: TargetStats
    target: ModelTarget
    waiting: SlotRequest
    attempts: int


@define
class Result:
    """What callers saw.

    Attributes:
        seconds: Model time.
        latencies_s: Seconds of each good answer.
        failed: Calls that failed at a target.
        refused: Calls that no target took.
        late: Answers after the timeout.
    """

    seconds: float
    latencies_s: list[float] = field(factory=list)
    failed: int = 0
    refused: int = 0
    late: int = 0

    @property
    def goodput(self) -> float:
        """Good answers a second."""
        return len(self.latencies_s) / self.seconds


@define(eq=False)
class Model:
    """Nodes that send calls to a pool of targets; events run in order of time.

    Attributes:
        policy: Name of the policy.
        seed: Seed of all random numbers.
        targets: The pool.
        zones: Zone of each calling node.
        weights: Part of the calls of each calling node.
        rate: Calls a second in total.
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
        """Run an action at a time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, seconds: float) -> Result:
        """Run the model and return what callers saw."""
        self._result = Result(seconds)
        self._refresh()
        self.at(0.0, self._arrive)
        while self._events and self._events[0][0] < seconds:
            when, _, action = heapq.heappop(self._events)
            self.clock.advance(when - self.clock.monotonic())
            action()
        return self._result

    def _refresh(self) -> None:
        """Make a new view, as membership would, and schedule the next one."""
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

    def _arrive(self) -> None:
        now = self.clock.monotonic()
        self.at(now + self._random.expovariate(self.rate), self._arrive)
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
        self.at(self.clock.monotonic() + delay, lambda: self._reach(call))

    def _delay(self, call: _Call) -> float:
        here = self.zones[call.caller] == call.target.availability_zone
        return 0.0002 if here else self.link_one_way_s

    def _reach(self, call: _Call) -> None:
        now = self.clock.monotonic()
        if not call.target.alive:
            self._end(call, status=0)
            return
        if self._random.random() < call.target.failing:
            self.at(now + FAILURE_S + self._delay(call), lambda: self._end(call, status=500))
            return
        if call.target.queue.offer(call.waiting, weight=1, now=now):
            self.at(now + self._delay(call), lambda: self._end(call, status=503))
            return
        self._waiting[id(call.waiting)] = call
        if call.waiting.started is not None:
            self._work(call)

    def _work(self, call: _Call) -> None:
        service = self._random.expovariate(1 / call.target.service_s)
        self.at(self.clock.monotonic() + service, lambda: self._done(call))

    def _done(self, call: _Call) -> None:
        now = self.clock.monotonic()
        del self._waiting[id(call.waiting)]
        for waiting in call.target.queue.release(call.waiting, now=now, ran=True):
            self._work(self._waiting[id(waiting)])
        status = 200 if call.target.alive else 0
        self.at(now + self._delay(call), lambda: self._end(call, status=status))

    def _end(self, call: _Call, *, status: int) -> None:
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
