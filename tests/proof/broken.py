"""Deliberately broken parts: each breaks one invariant, to show that its checker notices."""

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
    """Gives the new side of an open move 2% until the version is marked."""

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
    """Gives a version that is not proven half of the calls (R4)."""

    new_share = 0.5


class MarkIgnoringRules(RampRules):
    """Goes on calling a marked version (R4)."""

    def is_marked(self, version: str) -> bool:
        return False


class FalseNotRunRules(RampRules):
    """Reports a call as not run after its target died (R6)."""

    def verdict(self, status: int) -> Verdict:
        return Verdict.RAN if status else Verdict.NOT_RUN


class AlwaysRetryingRules(RampRules):
    """Repeats each failed call, orders included (R7)."""

    new_share = 0.08

    def allows_retry(self, call: Call, verdict: Verdict) -> bool:
        return call.attempt < 3

    def target(
        self, pool: Sequence[PoolTarget], zone: str, tried: Sequence[str], random: Random
    ) -> PoolTarget | None:
        return random.choice(pool) if pool else None


class RevertingCore(NodeCore):
    """Goes back to its first version when it should put its third one in force (R1)."""

    _held: tuple[Any, ...] = ()

    def _activate(self) -> None:
        super()._activate()
        if self.active.current not in self._held:
            self._held = (*self._held, self.active.current)
        if len(self._held) == 3:
            self._active._current = self._held[0]


class DanglingCore(NodeCore):
    """Puts routes in force without their services (R2)."""

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
    """Tells nobody that its target is leaving (R8)."""

    def _drain(self, _: Any) -> list[Any]:
        return []


class StuckCore(NodeCore):
    """Puts only its first version in force (R10)."""

    def _activate(self) -> None:
        if self.active.version < 0:
            super()._activate()


class ResponseSwappingTarget(FakeTarget):
    """Gives the answer of one call to another one (R5)."""

    def _finish(self, key: int, generation: int, status: int) -> None:
        others = [other for other in self._running if other != key]
        if generation == self._generation and others:
            own_job, other_job = self._running[key], self._running[others[0]]
            self._running[key] = attrs.evolve(own_job, on_done=other_job.on_done)
            self._running[others[0]] = attrs.evolve(other_job, on_done=own_job.on_done)
        super()._finish(key, generation, status)


@contextlib.contextmanager
def use_core_class(kind: type[NodeCore]) -> Iterator[None]:
    """Let all nodes run ``kind``."""
    with mock.patch("citronrack.node.cores.NodeCore", kind):
        yield


@contextlib.contextmanager
def use_target_class(kind: type[FakeTarget]) -> Iterator[None]:
    """Let all targets be ``kind``."""
    with mock.patch("citronrack.proof.world.FakeTarget", kind):
        yield


@contextlib.contextmanager
def stop_without_waiting() -> Iterator[None]:
    """Let a planned stop wait for nothing (R9)."""
    with drain_notice(0.0), mock.patch("citronrack.proof.world.DRAIN_LIMIT_S", 0.0):
        yield


@contextlib.contextmanager
def drain_notice(seconds: float) -> Iterator[None]:
    """Let draining nodes run on for ``seconds`` before they may stop."""
    with mock.patch("citronrack.proof.world.NOTICE_S", seconds):
        yield


@contextlib.contextmanager
def unannounced_drain() -> Iterator[None]:
    """Let nodes that leave tell nobody, and stay for a while (R8)."""
    with drain_notice(8.0), use_core_class(UnannouncedDrainCore):
        yield
