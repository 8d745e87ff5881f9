"""Checker of R10: an accepted configuration is soon in force on each node that can be reached."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from attrs import define

from .checker import Checker
from .observations import (
    ConfigAccepted,
    ConfigInForce,
    LogState,
    Moment,
    NodeStarted,
    NodeStopped,
    Reachability,
)

CONVERGENCE_LIMIT_S = 9.0


@define
class _NodeState:
    zone: str
    version: int = -1
    held_since: float = math.inf
    reachable_since: float = math.inf
    reported: int = -1


class ConvergenceChecker(Checker):
    """Each second, compares reachable nodes with what should have reached them.

    A node that runs and has a path to the platform must hold a version 9 s after the log accepted
    it, or 9 s after the node became reachable. While the log is down, a version counts only when a
    reachable node of the same zone holds it.
    """

    title = "an accepted version is in force everywhere in 9 s and never reverts"

    def __init__(self) -> None:
        super().__init__()
        self._accepted: list[tuple[int, float]] = []
        self._nodes: dict[str, _NodeState] = {}
        self._log_up_since = 0.0

    def _watched(self) -> dict[type[Any], Callable[[Any], None]]:
        return {
            ConfigAccepted: self._accept,
            ConfigInForce: self._config,
            NodeStarted: self._start,
            NodeStopped: self._stop,
            Reachability: self._reachability,
            LogState: self._log,
            Moment: self._moment,
        }

    def _accept(self, seen: ConfigAccepted) -> None:
        self._accepted.append((seen.config.version, seen.at))

    def _start(self, seen: NodeStarted) -> None:
        self._nodes[seen.node] = _NodeState(seen.availability_zone)

    def _stop(self, seen: NodeStopped) -> None:
        self._nodes.pop(seen.node, None)

    def _log(self, seen: LogState) -> None:
        self._log_up_since = seen.at if seen.up else math.inf

    def _reachability(self, seen: Reachability) -> None:
        node = self._nodes.get(seen.node)
        if node is not None:
            node.reachable_since = seen.at if seen.reachable else math.inf

    def _config(self, seen: ConfigInForce) -> None:
        node = self._nodes[seen.node]
        if seen.config.version < node.version:
            self._fail(seen.at, f"{seen.node} reverted from version {node.version}")
        node.version = seen.config.version
        node.held_since = seen.at

    def _moment(self, seen: Moment) -> None:
        for name, node in self._nodes.items():
            if seen.at < node.reachable_since + CONVERGENCE_LIMIT_S:
                continue
            due = self._due(node, seen.at)
            self.exercised += due >= 0
            if node.version < due and node.reported < due:
                node.reported = due
                self._fail(seen.at, f"{name} holds version {node.version}, {due} is overdue")

    def _due(self, node: _NodeState, now: float) -> int:
        """Return the version that the node must hold by now."""
        by_log = max(
            (
                version
                for version, at in self._accepted
                if max(at, self._log_up_since) + CONVERGENCE_LIMIT_S < now
            ),
            default=-1,
        )
        by_zone = max(
            (
                other.version
                for other in self._nodes.values()
                if other.zone == node.zone
                and max(other.held_since, other.reachable_since) + CONVERGENCE_LIMIT_S < now
            ),
            default=-1,
        )
        return max(by_log, by_zone)
