"""Replays generated arrivals on the slots and the queue of one target."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable, Iterator
from typing import Any

import numpy as np
from attrs import define, field, frozen

from citronrack.calls._queue import AdmissionQueue, SlotRequest


@frozen
class Stream:
    """Calls of one route.

    Attributes:
        route: Name of the route.
        per_s: Arrivals per second.
        work_s: Mean time for which a call holds its slot.
        aim_s: Time within which an answer counts in full.
        deadline_s: Time that the caller waits.
        priority: Rank; 0 goes first.
        spread: Standard deviation of the logarithm of the work.
        burst: Start, end and factor of a burst.
        retries: How often a refused caller comes back.
    """

    route: str
    per_s: float
    work_s: float
    aim_s: float
    deadline_s: float
    priority: int = 2
    spread: float = 0.5
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    retries: int = 1


@define(eq=False)
class Caller:
    """One caller with its tries.

    Attributes:
        stream: Its stream.
        work_s: Time for which its call holds a slot.
        started_at: Time of its first try.
        ended_at: Time of its answer, None while there is none.
        refusals: Number of refused tries.
    """

    stream: Stream
    work_s: float
    started_at: float
    ended_at: float | None = None
    refusals: int = 0

    @property
    def in_aim(self) -> bool:
        """Whether the answer arrived in time."""
        return self.ended_at is not None and self.ended_at - self.started_at <= self.stream.aim_s


@frozen
class Outcome:
    """What the callers of a route got.

    Attributes:
        callers: All callers.
    """

    callers: tuple[Caller, ...]

    @property
    def in_aim(self) -> float:
        """Share of the callers that were served in time."""
        return sum(caller.in_aim for caller in self.callers) / max(1, len(self.callers))

    @property
    def served(self) -> float:
        """Share of the callers that were served before their deadline."""
        served = [caller.ended_at for caller in self.callers if caller.ended_at is not None]
        return len(served) / max(1, len(self.callers))

    @property
    def refused_again(self) -> float:
        """Share of the refused callers that were not served when they came back."""
        refused = [caller for caller in self.callers if caller.refusals]
        return sum(caller.ended_at is None for caller in refused) / max(1, len(refused))


@define(eq=False)
class Replay:
    """Slots of one target under several streams of calls.

    Attributes:
        slots: Slots of the target.
        seconds: Length of the replay.
        seed: Seed of the arrivals and of the work.
        slow: Factor on the work of each call, for a target that has turned slow.
        limit_per_s: Calls a second that the target takes, None for no limit.
        passed: Times at which the target got a call.
    """

    slots: int
    seconds: float = 30.0
    seed: int = 1
    slow: float = 1.0
    limit_per_s: float | None = None
    passed: list[float] = field(factory=list)
    _events: list[tuple[float, int, str, Any]] = field(factory=list)
    _numbers: Iterator[int] = field(factory=itertools.count)

    def run(self, *streams: Stream) -> dict[str, Outcome]:
        """Return the outcome of each route."""
        random = np.random.default_rng(self.seed)
        queue = AdmissionQueue(slots=self.slots)
        queue.pacer.set_limit(self.limit_per_s, 0.0)
        callers = [caller for stream in streams for caller in self._callers(stream, random)]
        for caller in callers:
            self._add(caller.started_at, "try", caller)
        waiting: dict[SlotRequest, Caller] = {}
        while self._events:
            now, _, kind, subject = heapq.heappop(self._events)
            if kind == "try":
                self._try(queue, waiting, subject, now)
                continue
            if kind == "pace":
                self._settle(queue.start_waiting(now), waiting, now)
                self._await_pace(queue, waiting, now)
                continue
            call, caller = subject
            if kind == "give up":
                if waiting.pop(call, None) is not None:
                    queue.withdraw(call)
                    self._refuse(caller, now)
                continue
            if now <= caller.started_at + caller.stream.deadline_s:
                caller.ended_at = now
            self._settle(queue.release(call, now=now, ran=True), waiting, now)
        return {
            stream.route: Outcome(tuple(c for c in callers if c.stream is stream))
            for stream in streams
        }

    def _settle(
        self, calls: Iterable[SlotRequest], waiting: dict[SlotRequest, Caller], now: float
    ) -> None:
        """Start or refuse waiting calls as the queue has decided."""
        for call in calls:
            if call.refusal:
                self._refuse(waiting.pop(call), now)
            else:
                self._start(call, waiting.pop(call), now)

    def _await_pace(
        self, queue: AdmissionQueue, waiting: dict[SlotRequest, Caller], now: float
    ) -> None:
        """Look at the waiting calls again when the limit lets one start."""
        if waiting and (wait_s := queue.pacer.wait_s(now)):
            self._add(now + wait_s, "pace", None)

    def _try(
        self, queue: AdmissionQueue, waiting: dict[SlotRequest, Caller], caller: Caller, now: float
    ) -> None:
        stream = caller.stream
        call = SlotRequest(
            stream.route,
            caller.started_at + stream.deadline_s,
            priority=stream.priority,
            soft_deadline=caller.started_at + stream.aim_s if stream.priority else float("inf"),
        )
        if queue.offer(call, weight=1.0, now=now):
            self._refuse(caller, now)
        elif call.started is not None:
            self._start(call, caller, now)
        else:
            waiting[call] = caller
            self._await_pace(queue, waiting, now)
            self._add(call.deadline, "give up", (call, caller))

    def _refuse(self, caller: Caller, now: float) -> None:
        caller.refusals += 1
        if caller.refusals <= caller.stream.retries:
            self._add(now + RETRY_AFTER_S, "try", caller)

    def _start(self, call: SlotRequest, caller: Caller, now: float) -> None:
        self.passed.append(now)
        self._add(now + caller.work_s * self.slow, "end", (call, caller))

    def _add(self, at: float, kind: str, subject: Any) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, subject))

    def _callers(self, stream: Stream, random: np.random.Generator) -> Iterable[Caller]:
        at, (start, end, factor) = 0.0, stream.burst
        mean = np.log(stream.work_s) - stream.spread**2 / 2
        while at < self.seconds:
            rate = stream.per_s * (factor if start <= at < end else 1.0)
            at += random.exponential(1 / rate)
            yield Caller(stream, float(random.lognormal(mean, stream.spread)), at)


RETRY_AFTER_S = 0.3
"""Pause of a refused caller, as in the refusals of a node."""
