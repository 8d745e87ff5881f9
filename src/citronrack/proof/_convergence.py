"""Checker of R10: an accepted configuration soon takes effect on every reachable node."""

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
    version_since: float = math.inf
    reachable_since: float = math.inf
    reported_version: int = -1


class ConvergenceChecker(Checker):
    """Compares, every second, the version of each reachable node with the version it must hold.

    A running node with a path to the platform must hold a version 9 s after the log accepted it, or
    9 s after the node became reachable, whichever is later. While the log is unavailable, only
    versions that a reachable node of the same zone holds are required.
    """

    title = "an accepted version is in force everywhere in 9 s and never reverts"

    def __init__(self) -> None:
        super().__init__()
        self._accepted: list[tuple[int, float]] = []
        self._nodes: dict[str, _NodeState] = {}
        self._log_up_since = 0.0

    def _handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        return {
            ConfigAccepted: self._on_accepted,
            ConfigInForce: self._on_config,
            NodeStarted: self._on_start,
            NodeStopped: self._on_stop,
            Reachability: self._on_reachability,
            LogState: self._on_log_state,
            Moment: self._on_second,
        }

    def _on_accepted(self, observed: ConfigAccepted) -> None:
        self._accepted.append((observed.config.version, observed.at))

    def _on_start(self, observed: NodeStarted) -> None:
        self._nodes[observed.node] = _NodeState(observed.availability_zone)

    def _on_stop(self, observed: NodeStopped) -> None:
        self._nodes.pop(observed.node, None)

    def _on_log_state(self, observed: LogState) -> None:
        self._log_up_since = observed.at if observed.up else math.inf

    def _on_reachability(self, observed: Reachability) -> None:
        node = self._nodes.get(observed.node)
        if node is not None:
            node.reachable_since = observed.at if observed.reachable else math.inf

    def _on_config(self, observed: ConfigInForce) -> None:
        node = self._nodes[observed.node]
        if observed.config.version < node.version:
            self._fail(observed.at, f"{observed.node} reverted from version {node.version}")
        node.version = observed.config.version
        node.version_since = observed.at

    def _on_second(self, observed: Moment) -> None:
        for name, node in self._nodes.items():
            if observed.at < node.reachable_since + CONVERGENCE_LIMIT_S:
                continue
            required = self._required_version(node, observed.at)
            self.exercised += required >= 0
            if node.version < required and node.reported_version < required:
                node.reported_version = required
                self._fail(
                    observed.at, f"{name} holds version {node.version}, {required} is overdue"
                )

    def _required_version(self, node: _NodeState, now: float) -> int:
        """Return the version that the node must hold at time ``now``."""
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
                and max(other.version_since, other.reachable_since) + CONVERGENCE_LIMIT_S < now
            ),
            default=-1,
        )
        return max(by_log, by_zone)
