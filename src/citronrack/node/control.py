"""The control task, which owns the peer sockets and runs the core of the node."""

from __future__ import annotations

from ..clock import Clock
from ..mailbox import Mailbox
from ..transport.loop import TICK_MS, CoreTask, ErrorObserver
from ..transport.zmq_transport import ZmqTransport
from .core import NodeCore
from .mail import StopAsked
from .status import TransportStatus

__all__ = ["TICK_MS", "ControlTask"]

METRICS_EVERY_TICKS = 40


class ControlTask(CoreTask):
    """Runs the core of a node, and reports the transport counters in status and metrics.

    Args:
        core: The core to run.
        transport: Sockets to other nodes.
        mailbox: Messages of other tasks.
        clock: Source of time.
        on_error: Called with the kind of input and the unexpected error that it raised.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        transport: ZmqTransport,
        mailbox: Mailbox,
        clock: Clock,
        on_error: ErrorObserver,
    ) -> None:
        super().__init__(
            core=core,
            transport=transport,
            mailbox=mailbox,
            clock=clock,
            stop_message=StopAsked,
            on_error=on_error,
        )
        self._node_core = core
        self._ticks = 0

    def _tick(self) -> None:
        self._ticks += 1
        self._node_core.transport_status = TransportStatus(
            bytes_sent=self._transport.bytes_sent,
            messages_sent=self._transport.messages_sent,
            rejected=self._transport.rejected,
        )
        super()._tick()
        if self._ticks % METRICS_EVERY_TICKS == 0:
            self._node_core.write_metrics()
