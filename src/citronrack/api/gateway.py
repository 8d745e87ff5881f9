"""Interface between the API and the node."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any, Protocol

from ..log.appender import Appended
from ..log.fold import FoldState, PlanState
from ..node.capacity import CapacityTable
from ..node.status import MeshStatus


class NodeGateway(Protocol):
    """Requests to the node's tasks; each returns a future."""

    def status(self) -> Future[MeshStatus]:
        """Request the status of the node and the mesh."""

    def state(self) -> Future[FoldState]:
        """Request the state folded from the log."""

    def capacity(self) -> Future[CapacityTable]:
        """Request the capacity that targets have announced."""

    def append(self, body: Any) -> Future[Appended]:
        """Append a record; the future raises `AppendUnknown` or `AppendRefused` on failure."""

    def plan_result(self, plan_id: str, offset: int) -> Future[PlanState]:
        """Wait until the plan's record at ``offset`` is folded."""

    def state_after(self, offset: int) -> Future[FoldState]:
        """Wait until the record at ``offset`` is folded."""
