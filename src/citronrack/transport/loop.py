"""The task that owns the sockets to other nodes and runs a core."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

import zmq

from ..clock import Clock
from ..mailbox import Mailbox
from .send import Core, Send
from .zmq_transport import ZmqTransport

TICK_MS = 250
MAX_FRAMES_PER_TURN = 200


class LoopCore(Core, Protocol):
    """A core that also takes messages of other tasks of its process."""

    def handle(self, mail: Any) -> list[Send]:
        """Handle a message of another task and return what to send."""

    def leave(self) -> list[Send]:
        """Return what to send before the end."""


class CoreTask:
    """Feeds frames, messages and ticks to a core on one thread.

    Args:
        core: The decisions.
        transport: Sockets to other nodes.
        mailbox: Messages of other tasks.
        clock: Source of time.
        stop_message: Class of the message that ends the task.
    """

    def __init__(
        self,
        *,
        core: LoopCore,
        transport: ZmqTransport,
        mailbox: Mailbox,
        clock: Clock,
        stop_message: type[Any],
    ) -> None:
        self._core = core
        self._transport = transport
        self._mailbox = mailbox
        self._clock = clock
        self._stop_message = stop_message
        self._stopping = False

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
            self._handle_mailbox()
            self._handle_frames()
        self._transport.close()

    def _tick(self) -> None:
        self._send(self._core.on_tick())

    def _handle_mailbox(self) -> None:
        for mail in self._mailbox.take_all():
            if isinstance(mail, self._stop_message):
                self._send(self._core.leave())
                self._stopping = True
            else:
                self._send(self._core.handle(mail))

    def _handle_frames(self) -> None:
        for _ in range(MAX_FRAMES_PER_TURN):
            received = self._transport.receive()
            if received is None:
                return
            self._send(self._core.on_message(received.sender, received.message))

    def _send(self, effects: Sequence[Send]) -> None:
        for effect in effects:
            self._transport.send(effect)
