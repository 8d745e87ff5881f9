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
from citronrack.proof.fake_calls import Call, ChoiceRules
from citronrack.proof.fake_target import FakeTarget
from citronrack.verdict import Verdict


class RampRules(ChoiceRules):
    """Gives the new side of an open move 2% until the version is marked."""

    new_share = 0.02

    def side(self, view: RoutingView, route: Route, call_key: str) -> str:
        move = view.config.move_of_route(route.name)
        if move is None or self.is_marked(move.to_version):
            return route.service_version
        new = int(call_key) * 7919 % 1000 < 1000 * self.new_share
        return move.to_version if new else move.from_version

    def __init__(self) -> None:
        self.marked: set[str] = set()

    def is_marked(self, version: str) -> bool:
        return version in self.marked


class GreedyRules(RampRules):
    """Gives a version that is not proven half of the calls (R4)."""

    new_share = 0.5


class DeafRules(RampRules):
    """Goes on calling a marked version (R4)."""

    def is_marked(self, version: str) -> bool:
        return False


class LyingRules(RampRules):
    """Reports a call as not run after its target died (R6)."""

    def verdict(self, status: int) -> Verdict:
        return Verdict.RAN if status else Verdict.NOT_RUN


class RepeatingRules(RampRules):
    """Repeats each failed call, orders included (R7)."""

    new_share = 0.08

    def repeats(self, call: Call, verdict: Verdict) -> bool:
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


class SilentDrainCore(NodeCore):
    """Tells nobody that its target is leaving (R8)."""

    def _drain(self, _: Any) -> list[Any]:
        return []


class StuckCore(NodeCore):
    """Puts only its first version in force (R10)."""

    def _activate(self) -> None:
        if self.active.version < 0:
            super()._activate()


class SwappingTarget(FakeTarget):
    """Gives the answer of one call to another one (R5)."""

    def _finish(self, key: int, life: int, status: int) -> None:
        others = [other for other in self._running if other != key]
        if life == self._life and others:
            mine, theirs = self._running[key], self._running[others[0]]
            self._running[key] = attrs.evolve(mine, done=theirs.done)
            self._running[others[0]] = attrs.evolve(theirs, done=mine.done)
        super()._finish(key, life, status)


@contextlib.contextmanager
def core_class(kind: type[NodeCore]) -> Iterator[None]:
    """Let all nodes run ``kind``."""
    with mock.patch("citronrack.node.cores.NodeCore", kind):
        yield


@contextlib.contextmanager
def target_class(kind: type[FakeTarget]) -> Iterator[None]:
    """Let all targets be ``kind``."""
    with mock.patch("citronrack.proof.world.FakeTarget", kind):
        yield


@contextlib.contextmanager
def impatient_stop() -> Iterator[None]:
    """Let a planned stop wait for nothing (R9)."""
    with long_notice(0.0), mock.patch("citronrack.proof.world.DRAIN_LIMIT_S", 0.0):
        yield


@contextlib.contextmanager
def long_notice(seconds: float) -> Iterator[None]:
    """Let draining nodes run on for ``seconds`` before they may stop."""
    with mock.patch("citronrack.proof.world.DRAIN_NOTICE_S", seconds):
        yield


@contextlib.contextmanager
def silent_drain() -> Iterator[None]:
    """Let nodes that leave tell nobody, and stay for a while (R8)."""
    with long_notice(8.0), core_class(SilentDrainCore):
        yield
