"""The loop of a core when messages and ticks raise unexpected errors."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from citronrack.clock import SystemClock
from citronrack.mailbox import Mailbox
from citronrack.transport.loop import CoreTask
from citronrack.transport.send import Send
from citronrack.transport.zmq_transport import ZmqTransport


class FailingCore:
    """Raises an error for some messages, and records the others."""

    def __init__(self, stop: Callable[[], None]) -> None:
        self.handled: list[str] = []
        self.ticks = 0
        self._stop = stop

    def handle(self, mail: Any) -> list[Send]:
        """Raise the message if it is an error."""
        if isinstance(mail, Exception):
            raise mail
        self.handled.append(mail)
        self._stop()
        return []

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Do nothing."""
        return []

    def on_tick(self) -> list[Send]:
        """Fail in the first tick."""
        self.ticks += 1
        if self.ticks == 1:
            raise KeyError("tick")
        return []

    def on_turn_end(self) -> None:
        """Do nothing."""

    def leave(self) -> list[Send]:
        """Do nothing."""
        return []


class StopLoop:
    """Stops the loop."""


class CoreTaskTest(unittest.TestCase):
    """One malformed message must not end the process."""

    def test_unexpected_error_ends_one_message_only(self) -> None:
        """Guards against a process that ends because of one message or tick."""
        mailbox, errors = Mailbox(), []
        core = FailingCore(lambda: mailbox.put(StopLoop()))
        task = CoreTask(
            core=core,
            transport=ZmqTransport(address="tcp://127.0.0.1:0", mesh_id="m", key=b""),
            mailbox=mailbox,
            clock=SystemClock(),
            stop_message=StopLoop,
            on_error=lambda what, error: errors.append((what, repr(error))),
        )
        mailbox.put(ValueError("damaged"))
        mailbox.put("sound")
        ThreadPoolExecutor(1).submit(task.run).result(5.0)
        self.assertEqual(core.handled, ["sound"])
        self.assertIn(("ValueError", "ValueError('damaged')"), errors)
        self.assertIn(("tick", "KeyError('tick')"), errors)
