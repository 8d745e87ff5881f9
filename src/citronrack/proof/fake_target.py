"""Fake of a back-end process, with the ways in which a release can be bad."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from attrs import define, frozen

from ..registry import Registry
from .timeline import Timeline

QUEUE_PER_SLOT = 4
COLD_S = 5.0


@frozen
class Job:
    """One attempt of a call at a target.

    Attributes:
        call: Number of the call.
        attempt: Number of the attempt.
        route: Name of the route.
        idempotent: Whether the call may be repeated.
        started: Called when the target begins to run it.
        done: Called with the HTTP status, or 0 when the target died, and the call answered.
    """

    call: int
    attempt: int
    route: str
    idempotent: bool
    on_start: Callable[[], None]
    on_done: Callable[[int, int], None]


@define
class Fault:
    """How a service version is bad.

    Attributes:
        kind: Name in `FAULT_KINDS`.
        rate: Part of the calls that fail.
        slow_factor: How many times longer calls take, for ``slow``.
        route: Route that is affected, for ``one-route``.
        busy_share: Part of the slots in use from which on it fails, for ``under-load``.
    """

    kind: str
    rate: float = 0.5
    slow_factor: float = 6.0
    route: str = ""
    busy_share: float = 0.5


@frozen
class FaultEffect:
    """What a fault does to one call."""

    failure_rate: float = 0.0
    slowdown: float = 1.0


FaultRule = Callable[[Fault, Job, float], FaultEffect]
FAULT_KINDS: Registry[FaultRule] = Registry("kind of bad version")


@FAULT_KINDS.register("failing")
def _failing(fault: Fault, job: Job, busy: float) -> FaultEffect:
    return FaultEffect(failure_rate=fault.rate)


@FAULT_KINDS.register("slow")
def _slow(fault: Fault, job: Job, busy: float) -> FaultEffect:
    return FaultEffect(slowdown=fault.slow_factor)


@FAULT_KINDS.register("one-route")
def _one_route(fault: Fault, job: Job, busy: float) -> FaultEffect:
    return FaultEffect(failure_rate=fault.rate if job.route == fault.route else 0.0)


@FAULT_KINDS.register("under-load")
def _under_load(fault: Fault, job: Job, busy: float) -> FaultEffect:
    return FaultEffect(failure_rate=fault.rate if busy >= fault.busy_share else 0.0)


class FakeTarget:
    """Runs up to ``slots`` calls at once and queues a few more.

    Args:
        timeline: Simulated time.
        random: Source of random numbers.
        slots: Calls that run at once.
        work_ms: Mean time of a call.
        fault: Returns how the release is bad, if it is.
    """

    def __init__(
        self,
        *,
        timeline: Timeline,
        random: Random,
        slots: int,
        work_ms: float,
        fault: Callable[[], Fault | None],
    ) -> None:
        self._timeline = timeline
        self._random = random
        self._slots = slots
        self._work_s = work_ms / 1000
        self._fault = fault
        self._waiting: deque[Job] = deque()
        self._running: dict[int, Job] = {}
        self._generation = 0
        self._started_at = 0.0

    @property
    def in_flight(self) -> int:
        """Calls that run or wait."""
        return len(self._running) + len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether no further call is taken."""
        return len(self._waiting) >= self._slots * QUEUE_PER_SLOT

    @property
    def cold(self) -> bool:
        """Whether it has just started."""
        return self._timeline.now - self._started_at < COLD_S

    def start(self) -> None:
        """Begin a new process."""
        self._generation += 1
        self._started_at = self._timeline.now

    def kill(self) -> None:
        """End the process; calls in flight get no answer."""
        self._generation += 1
        lost = [*self._running.values(), *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for job in lost:
            job.on_done(0, job.call)

    def submit(self, job: Job) -> None:
        """Run a call now or later."""
        self._waiting.append(job)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            self._run(self._waiting.popleft())

    def _run(self, job: Job) -> None:
        key = job.call * 16 + job.attempt
        self._running[key] = job
        job.on_start()
        fault = self._fault()
        busy = len(self._running) / self._slots
        effect = FAULT_KINDS.get(fault.kind)(fault, job, busy) if fault else FaultEffect()
        status = 500 if self._random.random() < effect.failure_rate else 200
        work = self._random.expovariate(1 / self._work_s) * effect.slowdown
        generation = self._generation
        self._timeline.after(work, lambda: self._finish(key, generation, status))

    def _finish(self, key: int, generation: int, status: int) -> None:
        if generation != self._generation:
            return
        job = self._running.pop(key)
        job.on_done(status, job.call)
        self._start_waiting()
