"""Writes whose value is derived from another record."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from citronrack.hosted.messages import PageRead, RecordKept, RecordWritten, WriteFailed
from citronrack.hosted.publish import PublishTask
from citronrack.hosted.rollout_record import ROLLOUT_PREFIX, Phase, RolloutRecord
from citronrack.hosted.store import MESH_TOPIC, AppendConflict, KeyedPage
from citronrack.platform.operator import status_write
from citronrack.telemetry import EventLog

from .mesh import Store

KEY = ROLLOUT_PREFIX + "s"
STATUS = "keyed.status"


class ConditionalStore:
    """A store in memory whose appends may depend on the end of the topic.

    Attributes:
        store: The topics.
        before_put: Called before each append, to let another writer be faster.
    """

    def __init__(self) -> None:
        self.store = Store()
        self.before_put: Callable[[], None] = lambda: None

    def newest(self, topic: str, *, timeout_ms: int) -> KeyedPage:
        """Return the newest record of each key."""
        return self.store.newest(topic)

    def put(
        self, topic: str, key: str, value: bytes | None, *, expected_end: int | None = None
    ) -> int:
        """Append a record if the topic ends where it is expected to."""
        self.before_put()
        end = self.store.newest(topic).position
        if expected_end not in (None, end):
            raise AppendConflict(end)
        self.store.put(topic, key, value)
        return end

    def close(self) -> None:
        """Do nothing."""


class DerivedWriteTest(unittest.TestCase):
    """The status of a rollout."""

    def setUp(self) -> None:
        self.store = ConditionalStore()
        self.posted: list[Any] = []
        self.task = PublishTask(
            store=self.store,  # type: ignore[arg-type]
            post=self._post,
            events=EventLog(node="n", level="error"),
            random=Random(1),
        )

    def _post(self, message: Any) -> None:
        self.posted.append(message)
        if isinstance(message, (RecordKept, RecordWritten, WriteFailed)):
            self.task.stop()

    def store_phase(self, phase: Phase) -> None:
        """Store a record of the rollout."""
        record = RolloutRecord(1, "s", "v2", phase, 0.0, 0, 0, "n", 1)
        self.store.store.put(MESH_TOPIC, KEY, record.encode())

    def states(self) -> list[bytes | None]:
        """Return the written states."""
        return [record.value for record in self.store.store.topics.get(STATUS, [])]

    def test_late_write_does_not_replace_a_later_status(self) -> None:
        """Guards against a former leader that writes "in progress" over the final status."""
        self.store_phase(Phase.RUNNING)

        def other_leader() -> None:
            self.store.before_put = lambda: None
            self.store_phase(Phase.COMPLETED)
            final = status_write("s").derive(self.store.store.newest(MESH_TOPIC).value(KEY))
            self.store.store.put(STATUS, KEY, final)

        self.store.before_put = other_leader
        self.task.submit(status_write("s"))
        self.task.run()
        self.assertEqual(len(self.states()), 1)
        self.assertIn(b'"completed"', self.states()[0] or b"")
        self.assertIsInstance(self.posted[-1], RecordKept)

    def test_status_of_the_stored_phase(self) -> None:
        """Guards against a status that nobody learns of, and pages of a topic without replica."""
        self.store_phase(Phase.COMPLETED)
        self.task.submit(status_write("s"))
        self.task.run()
        self.assertIn(b'"completed"', self.states()[0] or b"")
        written = self.posted[-1]
        self.assertIsInstance(written, RecordWritten)
        self.assertEqual(written.source, self.store.store.newest(MESH_TOPIC).value(KEY))
        pages = [message.topic for message in self.posted if isinstance(message, PageRead)]
        self.assertEqual(set(pages), {MESH_TOPIC})

    def test_nothing_stored(self) -> None:
        """Guards against a status without a rollout."""
        self.task.submit(status_write("s"))
        self.task.run()
        self.assertEqual(self.states(), [])
        self.assertIsInstance(self.posted[-1], RecordKept)
