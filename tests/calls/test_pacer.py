"""The pace of calls to a target that names a limit."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from random import Random

from citronrack.calls._queue import AdmissionQueue, SlotRequest
from citronrack.calls.pacer import MIN_RATE_PER_S, Pacer

from ..limits import allowed, most_in_window


class PacerTest(unittest.TestCase):
    """Limits of all sizes, and calls that come in clumps."""

    def test_no_limit(self) -> None:
        """Guards against a pace where none is asked for."""
        pacer = Pacer()
        for _ in range(1000):
            self.assertEqual(pacer.wait_s(1.0), 0.0)
            pacer.take(1.0)

    def test_no_window_exceeds_a_limit(self) -> None:
        """Guards against bursts after a quiet time that add up to more than a target takes."""
        for limit in (0.0, 0.1, 0.5, 1.0, 7.3, 40.0):
            for seed in range(5):
                with self.subTest(limit=limit, seed=seed):
                    random = Random(f"{limit} {seed}")
                    pauses = (random.expovariate(2 + limit) for _ in range(500))
                    passed = self.pass_all(limit, (pause * random.randrange(4) for pause in pauses))
                    self.assertLessEqual(most_in_window(passed), allowed(limit))

    def test_steady_demand_uses_the_whole_limit(self) -> None:
        """Guards against a pace that leaves a part of the limit unused."""
        for limit in (1.0, 7.3, 40.0):
            passed = self.pass_all(limit, [0.005] * 6000)
            self.assertGreaterEqual(len(passed), 30 * limit - 2)

    @staticmethod
    def pass_all(limit: float, pauses: Iterable[float]) -> list[float]:
        """Pass all calls that the pace allows after each pause; return their times."""
        pacer, now, passed = Pacer(), 10.0, []
        pacer.set_limit(limit, now)
        for pause in pauses:
            now += pause
            while not pacer.wait_s(now):
                pacer.take(now)
                passed.append(now)
        return passed

    def test_limit_of_zero_still_lets_a_call_through_now_and_then(self) -> None:
        """Guards against a limit whose end is never learnt."""
        pacer = Pacer()
        pacer.set_limit(0.0, 0.0)
        self.assertEqual(pacer.wait_s(0.0), 1 / MIN_RATE_PER_S)
        self.assertEqual(pacer.wait_s(1 / MIN_RATE_PER_S), 0.0)

    def test_limit_that_falls_and_ends(self) -> None:
        """Guards against keeping what a higher limit has saved, or a limit that has ended."""
        pacer = Pacer()
        pacer.set_limit(100.0, 0.0)
        pacer.set_limit(1.0, 10.0)
        pacer.take(10.0)
        self.assertGreater(pacer.wait_s(10.0), 0.0)
        pacer.set_limit(None, 10.0)
        self.assertEqual(pacer.wait_s(10.0), 0.0)
        pacer.set_limit(1.0, 10.0)
        self.assertGreater(pacer.wait_s(10.0), 0.0)

    def test_huge_limit(self) -> None:
        """Guards against arithmetic on a number of calls that no target takes."""
        pacer = Pacer()
        pacer.set_limit(1e308, 0.0)
        pacer.take(1.0)
        self.assertEqual(pacer.wait_s(1.0), 0.0)


class ColdPaceTest(unittest.TestCase):
    """The rate of a target that is cold, which becomes cold and warm and names limits at random."""

    def test_no_second_exceeds_the_rate(self) -> None:
        """Guards against bursts at the change to a cold phase and in it; the slack is not used."""
        for seed in range(20):
            random, queue = Random(seed), AdmissionQueue(slots=7)
            now, began, changes_at, ends, arrivals = 10.0, 60.0, 11.0, [10.0], [10.0]
            while now < 60.0:
                now += random.uniform(0.0, 0.01 if random.random() < 0.99 else 2.0)
                if now >= changes_at:
                    phase = sorted(time for time in arrivals if began <= time < now)
                    self.assertLessEqual(most_in_window(phase, 1.0), 1.5 * 20.0, seed)
                    changes_at = now + random.choice((0.05, 0.3, 2.0, 5.0))
                    queue.pacer.set_limit(random.choice((None, 5.0, 90.0)), now)
                    queue.pacer.set_cold_rate(None, now)
                    queue.pacer.set_cold_rate(20.0, now, running=queue.running)
                    began = now
                    if random.random() < 0.5:
                        queue.pacer.set_cold_rate(None, now)
                        began = 60.0
                while queue.running < 7 and not queue.pacer.wait_s(now):
                    queue.offer(SlotRequest("r", now + 9.0), weight=1.0, now=now)
                    arrivals.append(now + random.uniform(0.0, 0.1))
                    ends.append(now + random.uniform(0.1, 0.12))
                queue.running = sum(end > now for end in ends)

    def test_calls_that_run_and_named_limits(self) -> None:
        """Guards against calls that start warm and arrive cold, and limits that end each other."""
        pacer = Pacer()
        pacer.set_cold_rate(10.0, 0.0, running=3)
        self.assertAlmostEqual(pacer.wait_s(0.0), 0.4)
        for named, limit in ((50.0, 10.0), (5.0, 5.0), (None, 10.0), (50.0, 10.0)):
            pacer.set_limit(named, 0.0)
            self.assertEqual(pacer.limit_per_s, limit)
        pacer.set_cold_rate(None, 0.0)
        self.assertEqual(pacer.limit_per_s, 50.0)


class PacedQueueTest(unittest.TestCase):
    """Which calls use the pace of a target."""

    def setUp(self) -> None:
        self.queue = AdmissionQueue(slots=8)
        self.queue.pacer.set_limit(2.0, 0.0)

    def offer(self, now: float, *, priority: int = 1, aim_s: float = 9.0) -> SlotRequest:
        """Offer a call of a route of the given priority; it must not be refused."""
        call = SlotRequest(f"r{priority}", now + 10, priority=priority, soft_deadline=now + aim_s)
        self.assertEqual(self.queue.offer(call, weight=1.0, now=now), "")
        return call

    def test_waiting_calls_go_before_new_ones(self) -> None:
        """Guards against a new call that takes the turn of one that has waited for the pace."""
        waiting = self.offer(0.0)
        later = self.offer(0.5, priority=2)
        self.assertIsNone(later.started)
        self.assertEqual(self.queue.start_waiting(0.5), [waiting])

    def test_urgent_calls_go_first(self) -> None:
        """Guards against spending the pace on calls that can wait."""
        self.offer(0.0, priority=2)
        urgent = self.offer(0.0, priority=0)
        self.assertEqual(self.queue.start_waiting(0.5), [urgent])

    def test_call_that_would_be_late_is_refused_at_once(self) -> None:
        """Guards against a wait for a pace that cannot be met."""
        call = SlotRequest("r", 10.0, priority=1, soft_deadline=0.4)
        self.assertTrue(self.queue.offer(call, weight=1.0, now=0.0))

    def test_target_without_an_answer_gets_few_calls(self) -> None:
        """Guards against a node that starts again and exceeds a limit that it has not heard yet."""
        queue = AdmissionQueue(slots=8, unanswered_since=0.0)
        calls = [SlotRequest("r", 10.0) for _ in range(8)]
        for call in calls:
            queue.offer(call, weight=1.0, now=0.0)
        self.assertEqual(sum(call.started is not None for call in calls), 2)
        queue.unanswered_since = None
        self.assertEqual(len(queue.start_waiting(0.1)), 6)
