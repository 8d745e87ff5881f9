"""Emits observations when the decisions of a core change."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..calls import RouteShare, ViewHolder
from ..node.core import NodeCore
from ..node.readiness import Readiness
from .observations import (
    ConfigInForce,
    MarkSeen,
    Observation,
    ReadinessChanged,
    ShareGiven,
)


class DecisionWatcher:
    """Compares the decisions of a core with those at the previous call.

    Args:
        core: Core of one process.
        views: Routing view of the core.
        node: Name of the node.
        boot: Number of the process.
        emit: Receives observations.
    """

    def __init__(
        self,
        core: NodeCore,
        views: ViewHolder,
        *,
        node: str,
        boot: int,
        emit: Callable[[Observation], None],
    ) -> None:
        self._core = core
        self._views = views
        self._node = node
        self._boot = boot
        self._emit = emit
        self._version = -1
        self._readiness = Readiness.NOT_READY
        self._shares: Mapping[str, RouteShare] = {}
        self._marks: set[str] = set()

    def emit_changes(self, at: float) -> None:
        """Emit an observation for each decision that has changed."""
        core = self._core
        if core.active.version != self._version:
            self._version = core.active.version
            self._emit(ConfigInForce(at, self._node, self._boot, core.active.current))
        if core.readiness is not self._readiness:
            self._report_readiness(at)
        if self._views.current.shares != self._shares:
            self._report_shares(at)
        if len(core.fold.state.marks) != len(self._marks):
            self._report_marks(at)

    def _report_readiness(self, at: float) -> None:
        state = self._readiness = self._core.readiness
        serving = state is not Readiness.NOT_READY
        version = self._core.active.version
        self._emit(ReadinessChanged(at, self._node, self._boot, state.value, serving, version))

    def _report_shares(self, at: float) -> None:
        view = self._views.current
        self._shares = view.shares
        for name, share in view.shares.items():
            route = view.config.routes.get(name)
            if route is not None:
                self._emit(
                    ShareGiven(at, self._node, name, route.service, share.to_version, share.share)
                )

    def _report_marks(self, at: float) -> None:
        marks = self._core.fold.state.marks
        for key in [key for key in marks if key not in self._marks]:
            self._marks.add(key)
            mark = marks[key]
            self._emit(MarkSeen(at, self._node, mark.service, mark.service_version, mark.epoch))
