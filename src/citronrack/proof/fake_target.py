"""Fake of a target process, with the faults that a service version can have."""

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
    """One attempt of a call on a target.

    Attributes:
        call: Number of the call.
        attempt: Number of the attempt.
        route: Name of the route.
        idempotent: Whether the call may be repeated.
        on_start: Called when the target starts to run the attempt.
        on_done: Called with the HTTP status, or 0 when the target died, and the number of the call
            that the response belongs to.
    """

    call: int
    attempt: int
    route: str
    idempotent: bool
    on_start: Callable[[], None]
    on_done: Callable[[int, int], None]


@define
class Fault:
    """Fault of a service version.

    Attributes:
        kind: Name of the fault in `FAULT_KINDS`.
        rate: Share of the affected calls that fail.
        slow_factor: Factor on the duration of calls, for ``slow``.
        route: Affected route, for ``one-route``.
        busy_share: Share of slots in use at which calls start to fail, for ``under-load``.
    """

    kind: str
    rate: float = 0.5
    slow_factor: float = 6.0
    route: str = ""
    busy_share: float = 0.5


@frozen
class FaultEffect:
    """Effect of a fault on one call: probability of a failure and factor on the duration."""

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
    """Runs up to ``slots`` calls concurrently and queues a few more, until it is `full`.

    Args:
        timeline: Simulated time.
        random: Source of random numbers.
        slots: Calls that run concurrently.
        work_ms: Mean duration of a call in milliseconds.
        fault: Returns the current fault of the service version, or None.
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
        """Number of calls that run or wait."""
        return len(self._running) + len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether the queue is full."""
        return len(self._waiting) >= self._slots * QUEUE_PER_SLOT

    @property
    def cold(self) -> bool:
        """Whether the process started less than `COLD_S` ago."""
        return self._timeline.now - self._started_at < COLD_S

    def start(self) -> None:
        """Start a new process."""
        self._generation += 1
        self._started_at = self._timeline.now

    def kill(self) -> None:
        """Terminate the process; calls in flight get no response."""
        self._generation += 1
        lost = [*self._running.values(), *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for job in lost:
            job.on_done(0, job.call)

    def submit(self, job: Job) -> None:
        """Run an attempt now, or queue it until a slot is free."""
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
