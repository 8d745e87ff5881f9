"""The client of the store, and the publish and watch tasks, against the stand-in of the store."""

from __future__ import annotations

import queue
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Any

from citronrack.clock import SystemClock
from citronrack.errors import AppendRefused, AppendUnknown, LogTrimmed, LogUnavailable
from citronrack.hosted.messages import PageRead, ReadFailed, RecordWritten
from citronrack.hosted.position import position_of
from citronrack.hosted.publish import PublishTask, Write
from citronrack.hosted.store import AppendConflict
from citronrack.hosted.watch import WatchTask
from citronrack.platform.store import PlatformStore
from citronrack.telemetry import EventLog

from .store_standin import StoreStandIn

TOPIC = "keyed.t"
ERA = 1
"""Era in which the stand-in begins."""

LIMIT_S = 5.0
LIMIT_MS = 3_000


class StoreCase(unittest.TestCase):
    """Provides a stand-in of the store and clients of it."""

    def setUp(self) -> None:
        self.standin = StoreStandIn()
        self.standin.start()
        self.addCleanup(self.standin.stop)

    def client(self) -> PlatformStore:
        """Return a new connection."""
        return PlatformStore(lambda: self.standin.address)


class StoreTest(StoreCase):
    """The client of the store."""

    def setUp(self) -> None:
        super().setUp()
        self.store = self.client()
        self.addCleanup(self.store.close)

    def test_newest_over_several_pages(self) -> None:
        """Guards against losing keys between pages."""
        for number in range(1_203):
            self.standin.put(TOPIC, f"k{number % 1_100:04}", b"%d" % number)
        self.standin.put(TOPIC, "k0007", None)
        page = self.store.newest(TOPIC, timeout_ms=LIMIT_MS)
        self.assertEqual(len(page.records), 1_099)
        self.assertEqual(page.position, position_of(ERA, 1_204))
        values = {record.key: record.value for record in page.records}
        self.assertEqual((values["k0000"], values["k0500"]), (b"1100", b"500"))

    def test_read_from_an_offset(self) -> None:
        """Guards against records with a wrong key or offset, and removals decoded as values."""
        self.standin.put(TOPIC, "a", b"1")
        self.standin.put(TOPIC, "b", b"\x00\xff")
        self.standin.put(TOPIC, "a", None)
        start = position_of(ERA, 1)
        page = self.store.read(TOPIC, start, wait_ms=0, timeout_ms=LIMIT_MS)
        found = [(record.key, record.value, record.position - start) for record in page.records]
        self.assertEqual(found, [("b", b"\x00\xff", 0), ("a", None, 1)])
        self.assertEqual(page.position, position_of(ERA, 3))

    def test_dropped_history(self) -> None:
        """Guards against a read that skips records which are no longer retained."""
        self.standin.put(TOPIC, "a", b"1")
        self.standin.put(TOPIC, "a", b"2")
        self.standin.trim(TOPIC)
        with self.assertRaises(LogTrimmed):
            self.store.read(TOPIC, position_of(ERA, 1), wait_ms=0, timeout_ms=LIMIT_MS)
        end = self.store.newest(TOPIC, timeout_ms=LIMIT_MS).position
        self.assertEqual(end, position_of(ERA, 2))

    def test_write_under_a_condition(self) -> None:
        """Guards against overwriting a concurrent write."""
        begin = position_of(ERA, 0)
        self.assertEqual(self.store.put(TOPIC, "a", b"1", expected_end=begin), begin)
        with self.assertRaises(AppendConflict) as raised:
            self.store.put(TOPIC, "a", b"2", expected_end=begin)
        self.assertEqual(raised.exception.end, begin + 1)
        self.assertEqual(self.standin.value(TOPIC, "a"), b"1")

    def test_return_from_a_copy(self) -> None:
        """Guards against positions that are taken for those of the log before the return."""
        first = self.store.put(TOPIC, "a", b"1")
        copy = self.standin.take_copy()
        end = self.store.put(TOPIC, "a", b"2") + 1
        self.standin.return_from(copy)
        self.standin.put(TOPIC, "a", b"3")
        for start in (first, end - 1, end):
            with self.assertRaises(LogTrimmed):
                self.store.read(TOPIC, start, wait_ms=0, timeout_ms=LIMIT_MS)
        page = self.store.newest(TOPIC, timeout_ms=LIMIT_MS)
        self.assertEqual(page.position, position_of(ERA + 1, 2))
        self.assertGreater(page.records[0].position, end)
        with self.assertRaises(AppendUnknown):
            self.store.put(TOPIC, "a", b"4", expected_end=end)

    def test_refusal_of_a_store_that_has_returned(self) -> None:
        """Guards against learning of a return only when the store serves again."""
        start = self.store.put(TOPIC, "a", b"1")
        self.standin.return_from(self.standin.take_copy())
        self.standin.faults.refused.add("*")
        with self.assertRaises(LogTrimmed):
            self.store.read(TOPIC, start, wait_ms=0, timeout_ms=LIMIT_MS)

    def test_outcome_of_a_failed_write(self) -> None:
        """Guards against reporting a write as refused that may take effect, and vice versa."""
        self.standin.faults.lose_answers = 1
        with self.assertRaises(AppendUnknown):
            self.store.put(TOPIC, "a", b"1")
        for status in (403, 429, 503, 507):
            self.standin.faults.status = status
            self.standin.faults.refused.add("*")
            with self.assertRaises(AppendRefused):
                self.store.put(TOPIC, "a", b"2")
        with self.assertRaises(LogUnavailable):
            self.store.newest(TOPIC, timeout_ms=LIMIT_MS)
        self.assertEqual(self.standin.value(TOPIC, "a"), b"1")


class TasksTest(StoreCase):
    """The tasks that own and close connections to the store."""

    def setUp(self) -> None:
        super().setUp()
        self.messages: queue.Queue[Any] = queue.Queue()
        self.executor = ThreadPoolExecutor(2)
        self.addCleanup(self.executor.shutdown)

    def publisher(self) -> PublishTask:
        """Return a running publish task."""
        task = PublishTask(
            store=self.client(),
            post=self.messages.put,
            events=EventLog(node="n", level="error"),
            random=Random(1),
        )
        self.executor.submit(task.run)
        self.addCleanup(task.stop)
        return task

    def await_message(self, kind: type[Any]) -> Any:
        """Return the next message of a class."""
        while True:
            message = self.messages.get(timeout=LIMIT_S)
            if isinstance(message, kind):
                return message

    def test_write_is_retried_until_it_succeeds(self) -> None:
        """Guards against a write that is lost in an outage."""
        task = self.publisher()
        self.standin.faults.refused.add("*")
        task.submit(Write(TOPIC, "a", b"1"))
        threading.Event().wait(0.3)
        task.submit(Write(TOPIC, "a", b"2"))
        self.standin.faults.refused.clear()
        while self.await_message(RecordWritten).record.value != b"2":
            continue
        self.assertEqual(self.standin.value(TOPIC, "a"), b"2")

    def test_write_that_must_not_replace(self) -> None:
        """Guards against replacing a state with an older one."""
        self.standin.put(TOPIC, "a", b"9")
        task = self.publisher()
        newer = Write(TOPIC, "a", b"5", may_replace=lambda current: (current or b"") < b"5")
        task.submit(newer)
        self.await_message(PageRead)
        task.submit(Write(TOPIC, "b", b"1", may_replace=lambda current: current is None))
        self.assertEqual(self.await_message(RecordWritten).record.key, "b")
        self.assertEqual(self.standin.value(TOPIC, "a"), b"9")

    def watch(self, *, needed: bool) -> WatchTask:
        """Return a watch task of the topic."""
        return WatchTask(
            TOPIC,
            store=self.client(),
            post=self.messages.put,
            random=Random(1),
            clock=SystemClock(),
            wait_s=1.2,
            needed=needed,
        )

    def test_watch_goes_on_after_outage_and_dropped_history(self) -> None:
        """Guards against a watch that misses records written while it could not read."""
        watch = self.watch(needed=True)
        self.executor.submit(watch.run)
        self.addCleanup(self.standin.put, TOPIC, "end", b"1")  # ends the last long poll
        self.addCleanup(watch.stop)
        self.assertTrue(self.await_message(PageRead).full)
        self.standin.put(TOPIC, "a", b"1")
        self.assertEqual(self.await_message(PageRead).page.records[0].value, b"1")
        self.standin.faults.refused.add("*")
        self.standin.put(TOPIC, "a", b"2")
        while self.messages.get(timeout=LIMIT_S).__class__ is not ReadFailed:
            continue
        self.standin.put(TOPIC, "a", b"3")
        self.standin.trim(TOPIC)
        self.standin.faults.refused.clear()
        values: list[bytes | None] = []
        while b"3" not in values:
            values += [record.value for record in self.await_message(PageRead).page.records]

    def test_watch_that_is_not_needed_reads_nothing(self) -> None:
        """Guards against reads by nodes whose zone already has a reader."""
        watch = self.watch(needed=False)
        self.executor.submit(watch.run)
        self.addCleanup(watch.stop)
        threading.Event().wait(0.2)
        self.assertEqual(self.standin.calls, [])
        self.standin.put(TOPIC, "a", b"1")
        watch.set_needed(True, position=0)
        self.assertEqual(self.await_message(PageRead).page.records[0].key, "a")
        watch.set_needed(False, position=1)
        self.addCleanup(self.standin.put, TOPIC, "end", b"1")
