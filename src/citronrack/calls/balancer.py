"""Load balancing and outlier ejection, from this node's observations of the targets."""

from __future__ import annotations

import itertools
import math
import threading
from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random

from attrs import define, field

from ..clock import Clock
from .notice import TargetProcess
from .policies import Policy, policies
from .target_stats import (
    MAX_EJECTED_DIVISOR,
    TargetStats,
    eject,
    restore,
)
from .view import PoolTarget

MAX_KNOWN_TARGETS = 4_096
"""Number of targets above which the statistics of absent ones are dropped; a pool of the largest
fleet has 35 targets on average."""

CROSS_ZONE_S_PER_BYTE = 5e-6
"""Extra wait in the local zone that is accepted to avoid another zone, per byte of a request body:
0.3 s for 60 KB. Traffic between zones is charged by the byte, and an upload of that size is worth
about as much as its transfer costs."""

EjectionObserver = Callable[[str, float], None]
"""Receives the name of a target and the seconds of its ejection, 0 when it is restored."""


class LimitsUsedUp(Exception):
    """No target takes a further call in time, because of their limits.

    Args:
        pause_s: Time until one of them does, in seconds.
    """

    def __init__(self, pause_s: float) -> None:
        super().__init__(f"the targets take no further call for {pause_s:.3f} s")
        self.pause_s = pause_s


@define(eq=False)
class _Pool:
    """Target statistics of one pool, by zone and state."""

    source: Sequence[PoolTarget]
    members: list[TargetStats]
    local_zone: list[TargetStats] = field(factory=list)
    other_zones: list[TargetStats] = field(factory=list)
    ejected: list[TargetStats] = field(factory=list)
    next_check: float = 0.0


class Balancer:
    """Chooses targets; one lock protects all statistics.

    Args:
        policy: Name of a policy.
        availability_zone: Zone of this node, whose targets are preferred.
        link_rtt_s: Round-trip time to another zone, in seconds.
        clock: Source of time.
        random: Source of random numbers.
        observer: Called at each ejection and restoration.
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
        self._leaving: dict[str, TargetProcess] = {}
        self._call_numbers = itertools.count()
        self._paused_until = 0.0  # No target is paused later than this.
        self._lock = threading.Lock()

    def choose(
        self,
        key: tuple[str, str],
        targets: Sequence[PoolTarget],
        *,
        excluded: Collection[str] = (),
        body_bytes: int = 0,
        patience_s: float = math.inf,
    ) -> TargetStats | None:
        """Return the target for a call and count the call as in flight, None without a target.

        Args:
            key: Service and service version of the pool.
            targets: The pool.
            excluded: Names of targets that the call has already been sent to.
            body_bytes: Length of the request's body.
            patience_s: Time within which the call has to end.

        Raises:
            LimitsUsedUp: When the limits of all targets leave no room for the call.
        """
        with self._lock:
            now = self._clock.monotonic()
            pool = self._pool(key, targets)
            if pool.ejected and now >= pool.next_check:
                self._classify(pool, now)
            local_zone: Sequence[TargetStats] = pool.local_zone
            other_zones: Sequence[TargetStats] = pool.other_zones
            if excluded:
                local_zone = [stats for stats in local_zone if stats.target.name not in excluded]
                other_zones = [stats for stats in other_zones if stats.target.name not in excluded]
            if now < self._paused_until:
                members = [*local_zone, *other_zones]
                local_zone = [stats for stats in local_zone if stats.fits(now, patience_s)]
                other_zones = [stats for stats in other_zones if stats.fits(now, patience_s)]
                if members and not local_zone and not other_zones:
                    raise LimitsUsedUp(min(stats.pause_s(now) for stats in members))
            link_s = self._link_rtt_s + body_bytes * CROSS_ZONE_S_PER_BYTE
            chosen = self._choose_by_zone(local_zone, other_zones, now, link_s)
            if chosen is None:
                chosen = self._choose_ejected(pool, excluded, now)
            if chosen is not None:
                chosen.record_start(now)
                self._paused_until = max(self._paused_until, chosen.paused_until)
                if chosen.ejected_until:
                    chosen.probing = True
                    self._classify(pool, now)
            return chosen

    def record_end(
        self,
        stats: TargetStats,
        *,
        latency_s: float | None = None,
        failed: bool = False,
        unreachable: bool = False,
        load: int | None = None,
        pause_s: float | None = None,
    ) -> None:
        """Record the result of a call.

        Args:
            stats: The target, as returned by `choose`.
            latency_s: Time to the head of the response, None when there was none.
            failed: Whether the target failed.
            unreachable: Whether it could not be reached, so that the call was not run.
            load: Load that the response carried.
            pause_s: Time until the target takes a further call, None without a limit.
        """
        with self._lock:
            now = self._clock.monotonic()
            was_ejected = bool(stats.ejected_until)
            stats.record_end(latency_s=latency_s, failed=failed)
            if load is not None:
                stats.record_load(load, now)
                stats.record_pause(pause_s, now)
                self._paused_until = max(self._paused_until, stats.paused_until)
            if unreachable:
                self._eject(stats, now, unreachable=True)
            elif failed and (was_ejected or stats.failing):
                self._eject(stats, now)
            elif was_ejected:
                # A refusal says nothing about health; the next call probes the target again.
                self._end_probe(stats, now, healthy=latency_s is not None)

    def record_leaving(self, target: PoolTarget) -> bool:
        """Record that a target's process is about to end; return whether that is new.

        This node sends it no further calls, whatever other nodes say of it, until another process
        has taken its place. The node beside it may have started again and know nothing of it.
        """
        with self._lock:
            known = self._leaving.get(target.name)
            if known is not None and known[1] >= target.started_ms:
                return False
            self._leaving[target.name] = target.process
            for pool in self._pools.values():
                self._mark_leaving(pool.members)
                self._classify(pool, self._clock.monotonic())
            return True

    def _mark_leaving(self, members: Iterable[TargetStats]) -> None:
        for stats in members:
            known = self._leaving.get(stats.target.name)
            # The process is unknown while the node beside it waits for its first report.
            stats.leaving = known is not None and (
                stats.target.process == known or not stats.target.target_id
            )

    def expected_latency_s(self, name: str) -> float | None:
        """Return the expected time of a call to a target, None for an unknown target."""
        stats = self._known.get(name)
        return stats.expected_latency_s(self._clock.monotonic()) if stats is not None else None

    def _choose_by_zone(
        self,
        local_zone: Sequence[TargetStats],
        other_zones: Sequence[TargetStats],
        now: float,
        link_s: float,
    ) -> TargetStats | None:
        """Choose from the local zone unless another one is faster despite the link.

        Args:
            local_zone: Targets of the local zone.
            other_zones: Targets of other zones.
            now: Monotonic time in seconds.
            link_s: Penalty for another zone, in seconds.
        """
        call_number = next(self._call_numbers)
        local = self._policy(local_zone, self._random, call_number, now) if local_zone else None
        if not other_zones:
            return local
        has_slot = local is not None and local.in_flight + local.load < local.target.slots
        if local is not None and has_slot and not local.pause_s(now):
            return local  # A free slot in the local zone is never slower than the link.
        remote = self._policy(other_zones, self._random, call_number, now)
        if local is None:
            return remote
        # The latency of a remote target already includes the link. The penalty is added so that
        # calls do not cross zones for a small gain.
        return (
            remote
            if local.expected_latency_s(now) > remote.expected_latency_s(now) + link_s
            else local
        )

    def _choose_ejected(
        self, pool: _Pool, excluded: Collection[str], now: float
    ) -> TargetStats | None:
        """Return the ejected target whose ejection ends first, for a pool without other targets."""
        left = [stats for stats in pool.ejected if stats.target.name not in excluded]
        return min(left, key=lambda stats: stats.ejected_until) if left else None

    def _pool(self, key: tuple[str, str], targets: Sequence[PoolTarget]) -> _Pool:
        pool = self._pools.get(key)
        if pool is not None and pool.source is targets:
            return pool
        members = []
        for target in targets:
            stats = self._known.get(target.name)
            if stats is None or _is_restarted(stats.target, target):
                stats = self._known[target.name] = TargetStats(target)
            stats.target = target
            members.append(stats)
        self._mark_leaving(members)
        _assume_latency(members)
        pool = self._pools[key] = _Pool(targets, members)
        self._classify(pool, self._clock.monotonic())
        if len(self._known) > MAX_KNOWN_TARGETS:
            self._drop_absent()
        return pool

    def _drop_absent(self) -> None:
        present = {stats.target.name for pool in self._pools.values() for stats in pool.members}
        self._known = {name: stats for name, stats in self._known.items() if name in present}
        self._leaving = {name: known for name, known in self._leaving.items() if name in present}

    def _classify(self, pool: _Pool, now: float) -> None:
        """Divide the targets that stay into those of the own zone, of others, and ejected ones."""
        pool.local_zone, pool.other_zones, pool.ejected = [], [], []
        for stats in pool.members:
            if stats.leaving:
                continue
            if stats.ejected_until and (stats.probing or now < stats.ejected_until):
                pool.ejected.append(stats)
            elif stats.target.availability_zone == self._availability_zone:
                pool.local_zone.append(stats)
            else:
                pool.other_zones.append(stats)
        waiting = [stats.ejected_until for stats in pool.ejected if not stats.probing]
        pool.next_check = min(waiting, default=float("inf"))

    def _eject(self, stats: TargetStats, now: float, *, unreachable: bool = False) -> None:
        """Eject a target; the pool's limit does not apply to an unreachable one."""
        for pool in self._pools.values():
            if stats not in pool.members:
                continue
            ejected = sum(bool(other.ejected_until) for other in pool.members)
            within_limit = ejected + 1 <= len(pool.members) // MAX_EJECTED_DIVISOR
            if not (within_limit or unreachable or stats.ejected_until):
                return
            if unreachable and now < stats.ejected_until and not stats.probing:
                return  # This call was in flight when the target was ejected.
            seconds = eject(stats, now, unreachable=unreachable)
            self._classify(pool, now)
            if self._observer is not None:
                self._observer(stats.target.name, seconds)
            return

    def _end_probe(self, stats: TargetStats, now: float, *, healthy: bool) -> None:
        if healthy:
            restore(stats, now)
            if self._observer is not None:
                self._observer(stats.target.name, 0.0)
        for pool in self._pools.values():
            if stats in pool.members:
                self._classify(pool, now)


def _assume_latency(members: Sequence[TargetStats]) -> None:
    """Assume the mean latency of the pool for targets without a measurement.

    A low initial estimate would send all calls to a target that has just started.
    """
    known = [stats.latency_s for stats in members if stats.has_latency]
    if known:
        mean = sum(known) / len(known)
        for stats in members:
            stats.assumed_latency_s = mean


def _is_restarted(observed: PoolTarget, target: PoolTarget) -> bool:
    """Return whether ``target`` is another process than the observed one."""
    return (observed.deliver_address, observed.process) != (
        target.deliver_address,
        target.process,
    )
