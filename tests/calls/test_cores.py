"""Admission, balancing, splitting and context, with a manual clock and many seeds."""

from __future__ import annotations

import unittest
from random import Random

from attrs import evolve

from citronrack.calls import Balancer, CallContext, ContextCodec, PoolTarget, picks_new
from citronrack.calls._queue import AdmissionQueue, SlotRequest
from citronrack.calls.balancer import LimitsUsedUp
from citronrack.calls.policies import policies
from citronrack.calls.target_stats import TargetStats
from citronrack.clock import ManualClock


class AdmissionQueueTest(unittest.TestCase):
    """Slots, order and fairness."""

    def test_random_histories(self) -> None:
        """Guards against more calls than slots, leaked slots and calls that never start."""
        for seed in range(200):
            random = Random(seed)
            queue = AdmissionQueue(slots=random.randint(1, 8), ramp_s=1.0, cold_since=0.0)
            now, running, waiting = 0.0, [], []
            for _ in range(300):
                now += random.expovariate(100)
                action = random.random()
                if action < 0.55:
                    call = SlotRequest(random.choice("abc"), now + random.uniform(0, 0.5))
                    reason = queue.offer(call, weight=random.choice((1, 3)), now=now)
                    if call.started is not None:
                        running.append(call)
                    elif not reason:
                        waiting.append(call)
                elif action < 0.9 and running:
                    call = running.pop(random.randrange(len(running)))
                    started = queue.release(call, now=now, ran=random.random() < 0.9)
                    for other in started:
                        waiting.remove(other)
                    running += started
                elif waiting:
                    queue.withdraw(waiting.pop(random.randrange(len(waiting))))
                self.assertEqual(queue.running, len(running), seed)
                self.assertLessEqual(len(running), queue.slots, seed)
                self.assertEqual(queue.load, len(running) + len(waiting), seed)
            while running:
                for other in queue.release(running.pop(), now=now + 100, ran=True):
                    waiting.remove(other)
                    running.append(other)
            self.assertEqual((queue.load, waiting), (0, []), seed)

    def test_lookups_survive_a_flood_of_uploads(self) -> None:
        """Guards against short calls that wait behind long ones."""
        for seed in range(20):
            random = Random(seed)
            queue = AdmissionQueue(slots=6)
            now, ends, refused = 0.0, [], 0
            waits = []
            arrivals = sorted(
                [(random.uniform(0, 30), "photos") for _ in range(600)]
                + [(random.uniform(5, 30), "parts") for _ in range(400)]
            )
            offered_at: dict[int, float] = {}
            service = {"photos": 1.0, "parts": 0.01}
            for now, route in arrivals:
                while ends and ends[0][0] <= now:
                    at, _, call = ends.pop(0)
                    for other in queue.release(call, now=at, ran=True):
                        ends.append((at + service[other.route], id(other), other))
                        waits.append((other.route, at - offered_at[id(other)]))
                    ends.sort(key=lambda end: end[:2])
                call = SlotRequest(route, now + 5)
                offered_at[id(call)] = now
                reason = queue.offer(call, weight=1, now=now)
                if reason:
                    refused += route == "parts"
                elif call.started is not None:
                    ends.append((now + service[route], id(call), call))
                    ends.sort(key=lambda end: end[:2])
            lookups = [wait for route, wait in waits if route == "parts"]
            self.assertLessEqual(refused, 4, seed)
            self.assertLess(max(lookups, default=0), 1.0, seed)
            self.assertLess(len(lookups), 200, seed)

    def test_weighted_fairness(self) -> None:
        """Guards against a route that takes the slots of others by sending more calls."""
        queue = AdmissionQueue(slots=2)
        random = Random(1)
        running: list[SlotRequest] = []
        served = {"flood": 0, "heavy": 0, "rare": 0}
        rare_since: dict[int, int] = {}
        longest = 0
        for step in range(3000):
            offers = ["flood"] * 3 + ["heavy"] * 2 + ["rare"] * (step % 20 == 0)
            for route in offers:
                call = SlotRequest(route, 1e9)
                weight = 3 if route == "heavy" else 1
                queue.offer(call, weight=weight, now=step * 0.01)
                if call.started is not None:
                    running.append(call)
                if route == "rare":
                    rare_since[id(call)] = step
            ended = running.pop(random.randrange(len(running)))
            served[ended.route] += 1
            running += queue.release(ended, now=step * 0.01 + 0.009, ran=True)
            for call in running:
                longest = max(longest, step - rare_since.pop(id(call), step))
        self.assertAlmostEqual(served["heavy"] / served["flood"], 3.0, delta=0.3)
        self.assertGreaterEqual(served["rare"], 148)
        self.assertLess(longest, 8)

    def test_calls_that_cannot_end_in_time_are_refused(self) -> None:
        """Guards against queueing calls that cannot end before their deadline."""
        queue = AdmissionQueue(slots=1)
        first = SlotRequest("a", 10.0)
        queue.offer(first, weight=1, now=0.0)
        queue.release(first, now=1.0, ran=True)  # service time 1 s
        queue.offer(SlotRequest("a", 10.0), weight=1, now=1.0)
        self.assertEqual(queue.offer(SlotRequest("a", 4.0), weight=1, now=1.0), "")
        self.assertIn("deadline", queue.offer(SlotRequest("a", 3.0), weight=1, now=1.0))
        self.assertEqual(queue.load, 2)

    def test_overload_leaves_calls_that_end_in_time(self) -> None:
        """Guards against a queue in which all calls of an overload end late."""
        queue = AdmissionQueue(slots=1)
        first = SlotRequest("a", 10.0)
        queue.offer(first, weight=1, now=0.0)
        queue.release(first, now=0.1, ran=True)  # service time 0.1 s
        running = SlotRequest("a", 10.0)
        queue.offer(running, weight=1, now=1.0)
        accepted = []
        for _ in range(20):
            call = SlotRequest("a", 3.0, soft_deadline=1.5)
            if not queue.offer(call, weight=1, now=1.0):
                accepted.append(call)
        self.assertGreaterEqual(len(accepted), 2)
        self.assertLessEqual(1.1 + 0.1 * len(accepted), 1.5)

    def test_higher_priority_goes_first(self) -> None:
        """Guards against urgent calls that wait behind less urgent ones."""
        queue = AdmissionQueue(slots=1)
        running = SlotRequest("a", 10.0)
        queue.offer(running, weight=1, now=0.0)
        low, high = SlotRequest("b", 9.0, priority=2), SlotRequest("c", 10.0, priority=0)
        for call in (low, high):
            self.assertEqual(queue.offer(call, weight=1, now=0.0), "")
        self.assertEqual(queue.release(running, now=0.1, ran=True), [high])


def pool(count: int, *, other_zone: int = 0) -> tuple[PoolTarget, ...]:
    """Return targets in zone a, and others in zone b."""
    zones = ["a"] * count + ["b"] * other_zone
    return tuple(PoolTarget(f"t{i}", ("10.0.0.1", i), zone, 6) for i, zone in enumerate(zones))


class BalancerTest(unittest.TestCase):
    """Choice, ejection and zones."""

    def make(self, policy: str, seed: int = 1) -> tuple[Balancer, ManualClock]:
        """Return a balancer and its clock."""
        clock = ManualClock()
        balancer = Balancer(
            policy=policy,
            availability_zone="a",
            link_rtt_s=0.008,
            clock=clock,
            random=Random(seed),
        )
        return balancer, clock

    def test_ejection_is_bounded(self) -> None:
        """Guards against a common fault that ejects the whole pool, and calls to bad targets."""
        for policy in policies:
            for bad in (1, 3, 9):
                balancer, clock = self.make(policy)
                targets = pool(9)
                counts = dict.fromkeys((target.name for target in targets), 0)
                for _ in range(3000):
                    entry = balancer.choose(("s", "1"), targets)
                    assert entry is not None
                    counts[entry.target.name] += 1
                    failed = int(entry.target.name[1:]) < bad
                    balancer.record_end(entry, latency_s=0.001, failed=failed)
                    clock.advance(0.001)
                    ejected = sum(e.ejected_until > clock.monotonic() for e in self.known(balancer))
                    self.assertLessEqual(ejected, 3)
                if bad <= 3:
                    self.assertLess(sum(counts[f"t{i}"] for i in range(bad)), 40 * bad, policy)

    @staticmethod
    def known(balancer: Balancer) -> list[TargetStats]:
        """Return the statistics of all targets."""
        return list(balancer._known.values())

    def test_ejected_targets_return(self) -> None:
        """Guards against a recovered target that never gets calls again."""
        balancer, clock = self.make("round-robin")
        targets = pool(3)
        healthy = False
        late = 0
        for step in range(4000):
            healthy = step > 1000
            entry = balancer.choose(("s", "1"), targets)
            assert entry is not None
            balancer.record_end(
                entry, latency_s=0.001, failed=entry.target.name == "t0" and not healthy
            )
            late += step > 3000 and entry.target.name == "t0"
            clock.advance(0.01)
        self.assertGreater(late, 200)

    def test_local_zone_first(self) -> None:
        """Guards against unnecessary calls to other zones."""
        balancer, clock = self.make("adaptive")
        targets = pool(3, other_zone=6)
        for _ in range(500):
            entry = balancer.choose(("s", "1"), targets)
            assert entry is not None
            self.assertEqual(entry.target.availability_zone, "a")
            balancer.record_end(entry, latency_s=0.02)
            clock.advance(0.01)
        busy = [balancer.choose(("s", "1"), targets) for _ in range(100)]
        zones = {entry.target.availability_zone for entry in busy if entry is not None}
        self.assertEqual(zones, {"a", "b"})

    def test_large_bodies_stay_in_the_zone(self) -> None:
        """Guards against uploads to another zone when waiting is cheaper than the transfer."""
        zones = {}
        for body_bytes in (0, 60_000):
            balancer, clock = self.make("adaptive")
            targets = pool(1, other_zone=2)
            for _ in range(12):
                entry = balancer.choose(("s", "1"), targets[:1])
                assert entry is not None
                balancer.record_end(entry, latency_s=0.1)
            running = [balancer.choose(("s", "1"), targets[:1]) for _ in range(9)]
            self.assertEqual(len(running), 9)
            entry = balancer.choose(("s", "1"), targets, body_bytes=body_bytes)
            assert entry is not None
            zones[body_bytes] = entry.target.availability_zone
            clock.advance(0.01)
        self.assertEqual(zones, {0: "b", 60_000: "a"})

    def test_unreachable_targets_are_ejected_at_once(self) -> None:
        """Guards against repeated connection attempts to a partitioned zone."""
        balancer, clock = self.make("adaptive")
        targets = pool(4)
        for number in (1, 2, 3):
            entry = balancer.choose(
                ("s", "1"), targets, excluded={t.name for t in targets} - {f"t{number}"}
            )
            assert entry is not None
            balancer.record_end(entry, failed=True, unreachable=True)
        chosen = {self.choose_name(balancer, targets) for _ in range(50)}
        self.assertEqual(chosen, {"t0"})
        clock.advance(1.1)
        self.assertGreater(len({self.choose_name(balancer, targets) for _ in range(50)}), 1)

    def test_targets_whose_limit_is_used_up_are_left_out(self) -> None:
        """Guards against calls that are forwarded to a target that refuses them."""
        balancer, clock = self.make("adaptive")
        targets = tuple(evolve(target, limit_per_s=10.0) for target in pool(2))
        for target in targets:
            entry = balancer.choose(("s", "1"), targets, excluded={target.name})
            assert entry is not None
            balancer.record_end(entry, load=9, pause_s=0.3 if entry.target.name == "t0" else 0.5)
        with self.assertRaises(LimitsUsedUp) as raised:
            balancer.choose(("s", "1"), targets, patience_s=0.2)
        self.assertAlmostEqual(raised.exception.pause_s, 0.3)
        entry = balancer.choose(("s", "1"), targets, patience_s=0.4)
        assert entry is not None
        self.assertEqual(entry.target.name, "t0")
        clock.advance(0.6)
        names = {balancer.choose(("s", "1"), targets, patience_s=0.2) for _ in range(2)}
        self.assertEqual(len(names), 2)

    def test_leaving_target_gets_no_calls_until_another_process_has_its_place(self) -> None:
        """Guards against calls to a target that leaves, from a node that was told by an answer.

        The node beside the target may start again meanwhile and take it for a usual one.
        """
        balancer, _ = self.make("adaptive")
        first, other = (
            evolve(target, target_id="i-1", started_ms=5, slots=6) for target in pool(2)
        )
        balancer.choose(("s", "1"), (first, other))
        self.assertTrue(balancer.record_leaving(first))
        self.assertFalse(balancer.record_leaving(first))
        unknown = evolve(first, target_id="", started_ms=0)
        for entry in (first, unknown, evolve(first, slots=7)):
            names = {self.choose_name(balancer, (entry, other)) for _ in range(30)}
            self.assertEqual(names, {other.name})
            self.assertIsNone(balancer.choose(("s", "2"), (entry,)))
        restarted = evolve(first, started_ms=6)
        names = {self.choose_name(balancer, (restarted, other)) for _ in range(30)}
        self.assertEqual(names, {first.name, other.name})

    def test_end_of_a_limit(self) -> None:
        """Guards against a target that stays left out although its limit has ended."""
        balancer, _ = self.make("adaptive")
        targets = pool(1)
        for pause_s in (9.0, None):
            entry = balancer.choose(("s", "1"), targets)
            assert entry is not None
            balancer.record_end(entry, load=0, pause_s=pause_s)
        self.assertIsNotNone(balancer.choose(("s", "1"), targets, patience_s=0.1))

    @staticmethod
    def choose_name(balancer: Balancer, targets: tuple[PoolTarget, ...]) -> str:
        """Choose a target for a call that succeeds at once, and return its name."""
        entry = balancer.choose(("s", "1"), targets)
        assert entry is not None
        balancer.record_end(entry, latency_s=0.1)
        return entry.target.name

    def test_excluded_targets_are_not_chosen(self) -> None:
        """Guards against a retry that goes to the target that has just failed."""
        balancer, _ = self.make("adaptive")
        targets = pool(2)
        for _ in range(50):
            entry = balancer.choose(("s", "1"), targets, excluded={"t0"})
            assert entry is not None
            self.assertEqual(entry.target.name, "t1")
        self.assertIsNone(balancer.choose(("s", "1"), targets, excluded={"t0", "t1"}))


class SplitTest(unittest.TestCase):
    """Division of calls during a move."""

    def test_share_and_stability(self) -> None:
        """Guards against a wrong share and against calls that switch versions repeatedly."""
        keys = [f"{number:016x}" for number in range(20_000)]
        before: set[str] = set()
        for share in (0.0, 0.01, 0.1, 0.5, 1.0):
            new = {key for key in keys if picks_new(key, "move-1", share)}
            self.assertAlmostEqual(len(new) / len(keys), share, delta=0.01)
            self.assertLessEqual(before, new)
            before = new
        one = {key for key in keys if picks_new(key, "move-1", 0.1)}
        other = {key for key in keys if picks_new(key, "move-2", 0.1)}
        self.assertLess(len(one & other), len(one) // 2)


class ContextTest(unittest.TestCase):
    """The context header."""

    def codec(self, clock: ManualClock, key: bytes = b"0123456789abcdef") -> ContextCodec:
        """Return a codec."""
        return ContextCodec(key=key, clock=clock, random=Random(1))

    def test_deadline_with_skewed_clocks(self) -> None:
        """Guards against calls that fail or never time out because of clock skew."""
        for skew_ms in (-60_000, 0, 60_000):
            sender, receiver = ManualClock(), ManualClock(skew_ms=skew_ms)
            receiver.advance(1000)
            value = self.codec(sender).encode(CallContext(sender.monotonic() + 2, 1, 4, "k"))
            context = self.codec(receiver).decode(value)
            assert context is not None
            self.assertAlmostEqual(context.deadline - receiver.monotonic(), 2.0, delta=0.01)
            self.assertEqual((context.retries_left, context.depth, context.call_key), (1, 4, "k"))

    def test_nested_calls_keep_the_deadline(self) -> None:
        """Guards against nested calls that outlive the call that caused them."""
        clock = ManualClock()
        codec = self.codec(clock)
        value = codec.encode(CallContext(clock.monotonic() + 2, 1, 4, "k"))
        clock.advance(1.5)
        context = codec.decode_nested(value)
        assert context is not None
        self.assertLess(context.deadline - clock.monotonic(), 0.76)
        self.assertEqual(context.depth, 5)

    def test_forged_contexts_are_dropped(self) -> None:
        """Guards against callers that forge deadlines or retries."""
        clock = ManualClock()
        codec = self.codec(clock)
        value = codec.encode(codec.new_context())
        other = self.codec(clock, b"another key of the mesh")
        self.assertIsNone(other.decode(value))
        for index in range(len(value)):
            changed = value[:index] + bytes([value[index] ^ 1]) + value[index + 1 :]
            self.assertIsNone(codec.decode(changed))
        for junk in (None, b"", b".", b"1.2.3.4.5", b"\xff" * 100, b"1" * 10_000):
            self.assertIsNone(codec.decode_nested(junk))
