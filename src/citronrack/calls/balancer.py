"""Chooses a target for each call from what this node has observed."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Collection, Sequence
from random import Random

from attrs import define, field

from ..clock import Clock
from .policies import Policy, policies
from .target_stats import (
    MAX_EJECTED_DIVISOR,
    TargetStats,
    eject,
    restore,
)
from .view import PoolTarget

MAX_KNOWN_TARGETS = 4_096
"""Targets whose observations are kept; a pool has 35 on average in the largest fleet."""

CROSS_ZONE_S_PER_BYTE = 5e-6
"""Wait in the own zone that is preferred to sending a byte to another one: 0.3 s for 60 KB. Links
between zones are paid by the byte, and an upload of that size is worth about what its crossing
costs."""

EjectionObserver = Callable[[str, float], None]
"""Gets the name of a target and for how many seconds it is ejected, 0 when it is restored."""


@define(eq=False)
class _Pool:
    """Observations of one pool, divided by zone."""

    source: Sequence[PoolTarget]
    entries: list[TargetStats]
    own: list[TargetStats] = field(factory=list)
    others: list[TargetStats] = field(factory=list)
    ejected: list[TargetStats] = field(factory=list)
    next_check: float = 0.0


class Balancer:
    """Chooses targets; one lock protects the observations.

    Args:
        policy: Name of a policy.
        availability_zone: Zone of this node, whose targets are preferred.
        link_rtt_s: Round trip of a link to another zone.
        clock: Source of time.
        random: Source of random numbers.
        observer: Is told of ejections.
    """

    def __init__(
        self,
        *,
        policy: str = "adaptive",
        availability_zone: str,
        link_rtt_s: float,
        clock: Clock,
        random: Random,
        observer: EjectionObserver | None = None,
    ) -> None:
        self._policy: Policy = policies.get(policy)
        self._availability_zone = availability_zone
        self._link_rtt_s = link_rtt_s
        self._clock = clock
        self._random = random
        self._observer = observer
        self._known: dict[str, TargetStats] = {}
        self._pools: dict[tuple[str, str], _Pool] = {}
        self._turn = itertools.count()
        self._lock = threading.Lock()

    def choose(
        self,
        key: tuple[str, str],
        targets: Sequence[PoolTarget],
        *,
        excluded: Collection[str] = (),
        body_bytes: int = 0,
    ) -> TargetStats | None:
        """Return the target for a call and count the call as in flight.

        Args:
            key: Service and service version of the pool.
            targets: The pool.
            excluded: Names of targets that have already failed the call.
            body_bytes: Length of the request's body.
        """
        with self._lock:
            now = self._clock.monotonic()
            pool = self._pool(key, targets)
            if pool.ejected and now >= pool.next_check:
                self._classify(pool, now)
            own: Sequence[TargetStats] = pool.own
            others: Sequence[TargetStats] = pool.others
            if excluded:
                own = [entry for entry in own if entry.target.name not in excluded]
                others = [entry for entry in others if entry.target.name not in excluded]
            link_s = self._link_rtt_s + body_bytes * CROSS_ZONE_S_PER_BYTE
            chosen = self._choose_by_zone(own, others, now, link_s)
            if chosen is None:
                chosen = self._last_resort(pool, excluded, now)
            if chosen is not None:
                chosen.record_start()
                if chosen.ejected_until:
                    chosen.probing = True
                    self._classify(pool, now)
            return chosen

    def record_end(
        self,
        entry: TargetStats,
        *,
        latency_s: float | None = None,
        failed: bool = False,
        unreachable: bool = False,
        load: int | None = None,
    ) -> None:
        """Take the result of a call into account.

        Args:
            entry: What `choose` returned.
            latency_s: Time to the head of the answer, None when there was none.
            failed: Whether the target failed.
            unreachable: Whether it could not be reached, so that the call was not run.
            load: Load that the answer carried.
        """
        with self._lock:
            now = self._clock.monotonic()
            was_ejected = bool(entry.ejected_until)
            entry.record_end(latency_s=latency_s, failed=failed)
            if load is not None:
                entry.record_load(load, now)
            if unreachable:
                self._eject(entry, now, unreachable=True)
            elif failed and (was_ejected or entry.failing):
                self._eject(entry, now)
            elif was_ejected:
                # A refusal says nothing about health; the next call tries the target again.
                self._end_probe(entry, now, healthy=latency_s is not None)

    def expected_latency_s(self, name: str) -> float | None:
        """Return the expected time of a call to a target, None for an unknown one."""
        entry = self._known.get(name)
        return entry.expected_latency_s(self._clock.monotonic()) if entry is not None else None

    def _choose_by_zone(
        self, own: Sequence[TargetStats], others: Sequence[TargetStats], now: float, link_s: float
    ) -> TargetStats | None:
        """Choose from the own zone, unless another one is faster in spite of the link.

        Args:
            own: Targets of the own zone.
            others: Targets of other zones.
            now: Monotonic time in seconds.
            link_s: Time that crossing to another zone counts as.
        """
        turn = next(self._turn)
        near = self._policy(own, self._random, turn, now) if own else None
        if not others:
            return near
        if near is not None and near.in_flight + near.load < near.target.slots:
            return near  # A free slot here is never slower than a link.
        far = self._policy(others, self._random, turn, now)
        if near is None:
            return far
        # The latency of a far target includes the link already; the link is added once more so
        # that calls do not cross zones for a small gain.
        return far if near.expected_latency_s(now) > far.expected_latency_s(now) + link_s else near

    def _last_resort(
        self, pool: _Pool, excluded: Collection[str], now: float
    ) -> TargetStats | None:
        """Choose among ejected targets when no other one is left."""
        left = [entry for entry in pool.ejected if entry.target.name not in excluded]
        return min(left, key=lambda entry: entry.ejected_until) if left else None

    def _pool(self, key: tuple[str, str], targets: Sequence[PoolTarget]) -> _Pool:
        pool = self._pools.get(key)
        if pool is not None and pool.source is targets:
            return pool
        entries = []
        for target in targets:
            entry = self._known.get(target.name)
            if entry is None or _is_restarted(entry.target, target):
                entry = self._known[target.name] = TargetStats(target)
            entry.target = target
            entries.append(entry)
        _assume_latency(entries)
        pool = self._pools[key] = _Pool(targets, entries)
        self._classify(pool, self._clock.monotonic())
        if len(self._known) > MAX_KNOWN_TARGETS:
            self._forget()
        return pool

    def _forget(self) -> None:
        present = {entry.target.name for pool in self._pools.values() for entry in pool.entries}
        self._known = {name: entry for name, entry in self._known.items() if name in present}

    def _classify(self, pool: _Pool, now: float) -> None:
        """Divide the pool into targets that get calls, by zone, and ejected ones."""
        pool.own, pool.others, pool.ejected = [], [], []
        for entry in pool.entries:
            if entry.ejected_until and (entry.probing or now < entry.ejected_until):
                pool.ejected.append(entry)
            elif entry.target.availability_zone == self._availability_zone:
                pool.own.append(entry)
            else:
                pool.others.append(entry)
        waiting = [entry.ejected_until for entry in pool.ejected if not entry.probing]
        pool.next_check = min(waiting, default=float("inf"))

    def _eject(self, entry: TargetStats, now: float, *, unreachable: bool = False) -> None:
        """Eject a target; the limit of the pool does not hold for one that cannot be reached."""
        for pool in self._pools.values():
            if entry not in pool.entries:
                continue
            ejected = sum(bool(other.ejected_until) for other in pool.entries)
            within = ejected + 1 <= len(pool.entries) // MAX_EJECTED_DIVISOR
            if not (within or unreachable or entry.ejected_until):
                return
            if unreachable and now < entry.ejected_until and not entry.probing:
                return  # Another call was on its way when the target was ejected.
            seconds = eject(entry, now, unreachable=unreachable)
            self._classify(pool, now)
            if self._observer is not None:
                self._observer(entry.target.name, seconds)
            return

    def _end_probe(self, entry: TargetStats, now: float, *, healthy: bool) -> None:
        if healthy:
            restore(entry, now)
            if self._observer is not None:
                self._observer(entry.target.name, 0.0)
        for pool in self._pools.values():
            if entry in pool.entries:
                self._classify(pool, now)


def _assume_latency(entries: Sequence[TargetStats]) -> None:
    """Let targets without an answer count as slow as the others of their pool.

    A low first guess sends all calls to a target that has just started.
    """
    has_latency = [entry.latency_s for entry in entries if entry.has_latency]
    if has_latency:
        mean = sum(has_latency) / len(has_latency)
        for entry in entries:
            entry.assumed_latency_s = mean


def _is_restarted(has_latency: PoolTarget, target: PoolTarget) -> bool:
    """Return whether ``target`` is another process than the one that was observed."""
    return (has_latency.deliver_address, has_latency.target_id) != (
        target.deliver_address,
        target.target_id,
    )
