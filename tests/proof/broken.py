"""Deliberately faulty parts that each violate one invariant, to test its checker."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from random import Random
from typing import Any
from unittest import mock

import attrs

from citronrack.calls import PoolTarget, RoutingView
from citronrack.config import Route
from citronrack.log import Confirmed
from citronrack.node.core import NodeCore
from citronrack.proof.fake_calls import Call, CallRules
from citronrack.proof.fake_target import FakeTarget
from citronrack.verdict import Verdict


class RampRules(CallRules):
    """Gives the new version of an open move 2% of the calls until the version is marked."""

    new_share = 0.02

    def choose_version(self, view: RoutingView, route: Route, call_key: str) -> str:
        move = view.config.move_of_route(route.name)
        if move is None or self.is_marked(move.to_version):
            return route.service_version
        new = int(call_key) * 7919 % 1000 < 1000 * self.new_share
        return move.to_version if new else move.from_version

    def __init__(self) -> None:
        self.marked: set[str] = set()

    def is_marked(self, version: str) -> bool:
        return version in self.marked


class ExcessiveShareRules(RampRules):
    """Gives an unproven version half of the calls (R4)."""

    new_share = 0.5


class MarkIgnoringRules(RampRules):
    """Continues to call a marked version (R4)."""

    def is_marked(self, version: str) -> bool:
        return False


class FalseNotRunRules(RampRules):
    """Reports a call as not run although its target died while running it (R6)."""

    def verdict(self, status: int) -> Verdict:
        return Verdict.RAN if status else Verdict.NOT_RUN


class AlwaysRetryingRules(RampRules):
    """Retries every failed call, including non-idempotent ones (R7)."""

    new_share = 0.08

    def allows_retry(self, call: Call, verdict: Verdict) -> bool:
        return call.attempt < 3

    def choose_target(
        self, pool: Sequence[PoolTarget], zone: str, tried: Sequence[str], random: Random
    ) -> PoolTarget | None:
        return random.choice(pool) if pool else None


class RevertingCore(NodeCore):
    """Reverts to its first version instead of activating its third one (R1)."""

    _held: tuple[Any, ...] = ()

    def _activate(self) -> None:
        super()._activate()
        if self.active.current not in self._held:
            self._held = (*self._held, self.active.current)
        if len(self._held) == 3:
            self._active._current = self._held[0]


class DanglingCore(NodeCore):
    """Activates routes without their services (R2)."""

    def _activate(self) -> None:
        super()._activate()
        self._active._current = attrs.evolve(self.active.current, services={})


class PartialCore(NodeCore):
    """Applies the valid part of a refused change (R3)."""

    def deliver(self, offset: int, data: bytes) -> None:
        super().deliver(offset, data)
        refused = self.fold.config.version != offset
        body = self._last_body(data)
        if refused and isinstance(body, Confirmed):
            routes = {**self.active.current.routes}
            routes.update((r.name, r) for r in body.change.put_routes if r.name in routes)
            self._active.swap(attrs.evolve(self.active.current, version=offset, routes=routes))

    @staticmethod
    def _last_body(data: bytes) -> Any:
        from citronrack.log import decode_record

        return decode_record(data).body


class UnannouncedDrainCore(NodeCore):
    """Does not announce the drain of its target (R8)."""

    def _drain(self, _: Any) -> list[Any]:
        return []


class StuckCore(NodeCore):
    """Activates only its first version (R10)."""

    def _activate(self) -> None:
        if self.active.version < 0:
            super()._activate()


class ResponseSwappingTarget(FakeTarget):
    """Returns the response of one call to another call (R5)."""

    def _finish(self, key: int, generation: int, status: int) -> None:
        others = [other for other in self._running if other != key]
        if generation == self._generation and others:
            own_job, other_job = self._running[key], self._running[others[0]]
            self._running[key] = attrs.evolve(own_job, on_done=other_job.on_done)
            self._running[others[0]] = attrs.evolve(other_job, on_done=own_job.on_done)
        super()._finish(key, generation, status)


@contextlib.contextmanager
def use_core_class(kind: type[NodeCore]) -> Iterator[None]:
    """Run all nodes with core class ``kind``."""
    with mock.patch("citronrack.node.cores.NodeCore", kind):
        yield


@contextlib.contextmanager
def use_target_class(kind: type[FakeTarget]) -> Iterator[None]:
    """Run all targets with class ``kind``."""
    with mock.patch("citronrack.proof.world.FakeTarget", kind):
        yield


@contextlib.contextmanager
def stop_without_waiting() -> Iterator[None]:
    """Stop nodes without waiting for calls in flight (R9)."""
    with drain_notice(0.0), mock.patch("citronrack.proof.world.DRAIN_LIMIT_S", 0.0):
        yield


@contextlib.contextmanager
def drain_notice(seconds: float) -> Iterator[None]:
    """Keep draining nodes running for at least ``seconds`` before they stop."""
    with mock.patch("citronrack.proof.world.DRAIN_NOTICE_S", seconds):
        yield


@contextlib.contextmanager
def unannounced_drain() -> Iterator[None]:
    """Drain nodes without an announcement and keep them running for a while (R8)."""
    with drain_notice(8.0), use_core_class(UnannouncedDrainCore):
        yield
