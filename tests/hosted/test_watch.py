"""Reads of a topic by a watch task."""

from __future__ import annotations

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from random import Random

from attrs import define, field

from citronrack.clock import ManualClock
from citronrack.errors import LogTrimmed, LogUnavailable
from citronrack.hosted.messages import CoreMessage, PageRead
from citronrack.hosted.store import KeyedPage
from citronrack.hosted.watch import (
    FULL_READ_SPREAD_S,
    LONG_READ_TIMEOUT_MS,
    READ_TIMEOUT_MS,
    WatchTask,
    read_timeout_ms,
)

WAIT_S = 0.7


@define(eq=False)
class SlowStore:
    """A store whose reads take given times; None stands for a read without a response.

    Attributes:
        clock: Advanced by each read.
        takes_s: Durations of the remaining reads.
        requests: Wait and timeout of each read, in milliseconds.
        on_end: Holds the watch to stop with the last read.
    """

    clock: ManualClock
    takes_s: list[float | None]
    requests: list[tuple[int, int]] = field(factory=list)
    on_end: list[WatchTask] = field(factory=list)

    def newest(self, topic: str, *, timeout_ms: int) -> KeyedPage:
        """Return an empty topic."""
        return KeyedPage((), 0)

    def read(self, topic: str, start: int, *, wait_ms: int, timeout_ms: int) -> KeyedPage:
        """Advance the clock; stop the watch with the last read."""
        self.requests.append((wait_ms, timeout_ms))
        took_s = self.takes_s.pop(0)
        if not self.takes_s:
            self.on_end[0].stop()
        if took_s is None:
            raise LogUnavailable("no answer")
        self.clock.advance(took_s)
        return KeyedPage((), start, start=start)

    def close(self) -> None:
        """Do nothing."""


class WatchTaskTest(unittest.TestCase):
    """Long polls, timeouts and the age of pages."""

    def run_watch(self, *takes_s: float | None) -> tuple[SlowStore, list[CoreMessage]]:
        """Return the store and the messages of a watch after the given reads."""
        messages: list[CoreMessage] = []
        clock = ManualClock()
        store = SlowStore(clock, list(takes_s))
        watch = WatchTask(
            "t", store=store, post=messages.append, random=Random(1), clock=clock, wait_s=WAIT_S
        )
        store.on_end.append(watch)
        watch.run()
        return store, [message for message in messages if isinstance(message, PageRead)]

    def test_answer_that_waited_is_old(self) -> None:
        """Guards against treating an old response as current after the instance was suspended."""
        _, pages = self.run_watch(WAIT_S, 5.0 + WAIT_S, 0.3)
        created_at = [round(page.created_at, 3) for page in pages]
        self.assertEqual(created_at, [0.0, WAIT_S, 2 * WAIT_S, 5.0 + 2 * WAIT_S + 0.3])
        # Only the first answer certainly waited; the others may be as old as their requests.
        certain_at = [round(page.certain_at, 3) for page in pages]
        self.assertEqual(certain_at, [0.0, WAIT_S, WAIT_S, 5.0 + 2 * WAIT_S])

    def test_read_after_a_failure_does_not_wait(self) -> None:
        """Guards against a full long poll before the topic is confirmed after an outage."""
        store, _ = self.run_watch(WAIT_S, None, 0.0, 0.0)
        wait_ms = round(WAIT_S * 1000)
        self.assertEqual([wait for wait, _ in store.requests], [wait_ms, wait_ms, 0, wait_ms])

    def test_full_read_is_left_to_another_node(self) -> None:
        """Guards against a full read by each node when the store returns from a copy."""
        calls: list[str] = []
        trimmed, done = threading.Event(), threading.Event()

        class ReturnedStore(SlowStore):
            """A store whose first position is void."""

            def newest(self, topic: str, *, timeout_ms: int) -> KeyedPage:
                calls.append("newest")
                return KeyedPage((), 1)

            def read(self, topic: str, start: int, *, wait_ms: int, timeout_ms: int) -> KeyedPage:
                calls.append(f"read {start}")
                if start == 1:
                    watch.set_needed(False, position=1)
                    trimmed.set()
                    raise LogTrimmed(start)
                watch.stop()
                done.set()
                return KeyedPage((), start, start=start)

        clock = ManualClock()
        watch = WatchTask(
            "t",
            store=ReturnedStore(clock, []),
            post=lambda message: None,
            random=Random(1),
            clock=clock,
        )
        with ThreadPoolExecutor(1) as executor:
            running = executor.submit(watch.run)
            self.assertTrue(trimmed.wait(5.0))
            threading.Event().wait(2 * FULL_READ_SPREAD_S)
            watch.set_needed(True, position=7)
            self.assertTrue(done.wait(5.0))
            running.result(5.0)
        self.assertEqual(calls, ["newest", "read 1", "read 7"])

    def test_slow_store_is_read(self) -> None:
        """Guards against a node whose timeouts are always too short for a slow store."""
        random = Random(1)
        self.assertEqual({read_timeout_ms(0, random) for _ in range(50)}, {READ_TIMEOUT_MS})
        limits = {read_timeout_ms(5, random) for _ in range(50)}
        self.assertEqual(limits, {READ_TIMEOUT_MS, LONG_READ_TIMEOUT_MS})
