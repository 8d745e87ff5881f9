"""What the API needs of the node."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any, Protocol

from ..log.appender import Appended
from ..log.fold import FoldState, PlanState
from ..node.capacity import CapacityTable
from ..node.status import MeshStatus


class NodeGateway(Protocol):
    """Messages to the node's tasks; each returns a future."""

    def status(self) -> Future[MeshStatus]:
        """Ask for the status."""

    def state(self) -> Future[FoldState]:
        """Ask for the folded log."""

    def capacity(self) -> Future[CapacityTable]:
        """Ask which targets are announced."""

    def append(self, body: Any) -> Future[Appended]:
        """Append a record; raises `AppendUnknown` or `AppendRefused` through the future."""

    def plan_result(self, plan_id: str, offset: int) -> Future[PlanState]:
        """Wait until the plan's record at ``offset`` is folded."""

    def state_after(self, offset: int) -> Future[FoldState]:
        """Wait until the record at ``offset`` is folded."""
