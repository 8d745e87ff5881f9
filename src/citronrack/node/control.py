"""The control task: owns the peer sockets and runs the node's core."""

from __future__ import annotations

from collections.abc import Sequence

import zmq

from ..clock import Clock
from ..transport.send import Send
from ..transport.zmq_transport import ZmqTransport
from .core import NodeCore
from .mail import Mailbox, StopAsked
from .status import TransportStatus

TICK_MS = 250
MAX_FRAMES_PER_TURN = 200
METRICS_EVERY_TICKS = 40


class ControlTask:
    """Feeds frames, messages and ticks to the core on one thread.

    Args:
        core: The decisions.
        transport: Sockets to other nodes.
        mailbox: Messages of other tasks.
        clock: Source of time.
    """

    def __init__(
        self, *, core: NodeCore, transport: ZmqTransport, mailbox: Mailbox, clock: Clock
    ) -> None:
        self._core = core
        self._transport = transport
        self._mailbox = mailbox
        self._clock = clock
        self._stopping = False
        self._ticks = 0

    @property
    def mailbox(self) -> Mailbox:
        """Where other tasks put messages for this one."""
        return self._mailbox

    def run(self) -> None:
        """Handle frames, messages and ticks until a stop is asked for."""
        poller = zmq.Poller()
        poller.register(self._transport.inbox, zmq.POLLIN)
        poller.register(self._mailbox.fileno(), zmq.POLLIN)
        next_tick = self._clock.monotonic()
        while not self._stopping:
            now = self._clock.monotonic()
            if now >= next_tick:
                next_tick = now + TICK_MS / 1000
                self._tick()
            poller.poll(max(0, int((next_tick - now) * 1000)))
            self._take_mail()
            self._take_frames()
        self._transport.close()

    def _tick(self) -> None:
        self._ticks += 1
        self._core.transport_status = TransportStatus(
            bytes_sent=self._transport.bytes_sent,
            messages_sent=self._transport.messages_sent,
            rejected=self._transport.rejected,
        )
        self._send(self._core.on_tick())
        if self._ticks % METRICS_EVERY_TICKS == 0:
            self._core.write_metrics()

    def _take_mail(self) -> None:
        for mail in self._mailbox.take_all():
            if isinstance(mail, StopAsked):
                self._send(self._core.leave())
                self._stopping = True
            else:
                self._send(self._core.handle(mail))

    def _take_frames(self) -> None:
        for _ in range(MAX_FRAMES_PER_TURN):
            received = self._transport.receive()
            if received is None:
                return
            self._send(self._core.on_message(received.sender, received.message))

    def _send(self, effects: Sequence[Send]) -> None:
        for effect in effects:
            self._transport.send(effect)
