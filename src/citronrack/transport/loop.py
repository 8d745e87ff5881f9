"""The event loop of a core, which owns the sockets to other nodes."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import zmq

from ..clock import Clock
from ..mailbox import Mailbox
from .send import Core, Send
from .zmq_transport import ZmqTransport

TICK_MS = 250
MAX_FRAMES_PER_TURN = 200

ErrorObserver = Callable[[str, Exception], None]
"""Receives the kind of an input and the error that it raised."""


class LoopCore(Core, Protocol):
    """A core that also handles messages of other tasks of its process."""

    def handle(self, mail: Any) -> list[Send]:
        """Handle a message of another task and return what to send."""

    def on_turn_end(self) -> None:
        """Apply what the messages since the last call have changed."""

    def leave(self) -> list[Send]:
        """Return what to send before the task ends."""


class CoreTask:
    """Passes frames, messages and ticks to a core on one thread.

    Args:
        core: The state machine.
        transport: Sockets to other nodes.
        mailbox: Messages of other tasks.
        clock: Source of time.
        stop_message: Class of the message that stops the task.
        on_error: Called with the kind of input and the unexpected error that handling it raised.
            The task goes on with the next input.
    """

    def __init__(
        self,
        *,
        core: LoopCore,
        transport: ZmqTransport,
        mailbox: Mailbox,
        clock: Clock,
        stop_message: type[Any],
        on_error: ErrorObserver,
    ) -> None:
        self._core = core
        self._transport = transport
        self._mailbox = mailbox
        self._clock = clock
        self._stop_message = stop_message
        self._on_error = on_error
        self._stopping = False

    @property
    def mailbox(self) -> Mailbox:
        """Mailbox for messages to this task."""
        return self._mailbox

    def run(self) -> None:
        """Handle frames, messages and ticks until a stop message arrives."""
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
            self._end_turn()
        self._transport.close()

    def _tick(self) -> None:
        self._send("tick", self._core.on_tick)

    def _handle_mailbox(self) -> None:
        for mail in self._mailbox.take_all():
            if isinstance(mail, self._stop_message):
                self._send("leave", self._core.leave)
                self._stopping = True
            else:
                self._send(type(mail).__name__, partial(self._core.handle, mail))

    def _handle_frames(self) -> None:
        for _ in range(MAX_FRAMES_PER_TURN):
            received = self._transport.receive()
            if received is None:
                return
            message = received.message
            handler = partial(self._core.on_message, received.sender, message)
            self._send(type(message).__name__, handler)

    def _end_turn(self) -> None:
        try:
            self._core.on_turn_end()
        except Exception as error:
            self._on_error("turn", error)

    def _send(self, kind: str, handler: Callable[[], list[Send]]) -> None:
        """Handle one input and send the resulting messages."""
        try:
            for effect in handler():
                self._transport.send(effect)
        except Exception as error:
            self._on_error(kind, error)
