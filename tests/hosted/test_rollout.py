"""Rollouts of good and bad versions, with crashing holders and concurrent records."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random

from attrs import define, field

from citronrack.calls import CallRecord
from citronrack.clock import ManualClock
from citronrack.hosted.evidence import Evidence, EvidenceAggregator, EvidenceCounter
from citronrack.hosted.rollout import RolloutCore
from citronrack.hosted.rollout_record import (
    Phase,
    Proposal,
    RolloutOrder,
    RolloutRecord,
    VersionShare,
)
from citronrack.telemetry import EventLog
from citronrack.verdict import Verdict

ORDER = RolloutOrder(order_id=5, service="s", target_version="v2", duration_s=16.0)
TICK_S = 0.25
CALLS_PER_TICK = 60
CANARY_SHARE = 0.1
CANARY_SLACK = 50
ROLLBACK_S = 5.0

Outcome = Callable[[str, str, float, Random], tuple[bool, float]]
"""Takes version, route, time and a random source; returns whether a call fails and its latency."""


@define(eq=False)
class Fleet:
    """Nodes that share one store; half of the targets run the new version.

    Attributes:
        outcome: Determines the result of a call.
        dead: Names of nodes that do nothing.
        nodes: Rollouts, calls counted and service version of each node, by name.
    """

    outcome: Outcome
    dead: set[str] = field(factory=set)
    clock: ManualClock = field(factory=ManualClock)
    statuses: list[tuple[str, Phase, float]] = field(factory=list)
    records: list[RolloutRecord] = field(factory=list)
    new_calls: int = 0
    bad_answers: list[float] = field(factory=list)
    last_new_call: float = 0.0
    calls: int = 0
    nodes: dict[str, tuple[RolloutCore, EvidenceCounter, str]] = field(factory=dict)
    _pending: list[Proposal] = field(factory=list)
    _random: Random = field(factory=lambda: Random(7))

    def __attrs_post_init__(self) -> None:
        for index in range(6):
            name = f"n{index}"
            core = RolloutCore(
                own_name=name,
                clock=self.clock,
                random=Random(name),
                events=EventLog(node=name, level="error"),
                write_record=self._pending.append,
                broadcast_record=self._broadcast,
                write_status=lambda _, n=name: self._write_status(n),
            )
            version = "v2" if index % 2 else "v1"
            self.nodes[name] = (core, EvidenceCounter(), version)
            core.on_order(ORDER)

    def run(self, seconds: float) -> None:
        """Advance the clock tick by tick."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self._tick()

    @property
    def phase(self) -> str:
        """Phase of the newest record."""
        return self.records[-1].phase if self.records else ""

    def _tick(self) -> None:
        live = {name: node for name, node in self.nodes.items() if name not in self.dead}
        for core, _, _ in live.values():
            core.on_tick(names=list(self.nodes))
        self._store_records()
        self._make_calls()
        for name, (_, counter, _) in live.items():
            evidence = counter.evidence(service="s", node=name)
            for core, _, _ in live.values():
                core.on_evidence(evidence)

    def _store_records(self) -> None:
        """Store the first write that follows the stored record, like a conditional append."""
        for proposal in self._pending:
            record = proposal.record
            if record.holder in self.dead:
                continue
            if proposal.may_replace(self.records[-1] if self.records else None):
                self.records.append(record)
                for core, _, _ in self.nodes.values():
                    core.on_record(record)
            else:
                self.nodes[record.holder][0].on_write_failed(record.service)
        self._pending.clear()

    def _broadcast(self, record: RolloutRecord) -> None:
        if record.holder not in self.dead:
            for core, _, _ in self.nodes.values():
                core.on_record(record)

    def _write_status(self, name: str) -> None:
        if name not in self.dead and self.records:
            stored = self.records[-1]
            self.statuses.append((name, Phase(stored.phase), self.clock.monotonic()))
            self.nodes[name][0].on_status(stored)

    def _make_calls(self) -> None:
        now = self.clock.monotonic()
        share = self.records[-1].share if self.records else 0.0
        for _ in range(CALLS_PER_TICK):
            version = "v2" if self._random.random() < share else "v1"
            route = self._random.choice(("look", "look", "order"))
            failed, latency_s = self.outcome(version, route, now, self._random)
            counters = [
                counter
                for name, (_, counter, node_version) in self.nodes.items()
                if node_version == version and name not in self.dead
            ]
            counter = self._random.choice(counters)
            counter.begin(ORDER.order_id, version)
            if version == "v2" and counter.failing:
                version = "v1"
                counter = next(
                    c for _, c, node_version in self.nodes.values() if node_version == "v1"
                )
                failed, latency_s = self.outcome(version, route, now, self._random)
            self.calls += 1
            if version == "v2":
                self.new_calls += 1
                self.last_new_call = now
                if failed:
                    self.bad_answers.append(now)
            counter.observe(
                CallRecord(
                    route=route,
                    service="s",
                    service_version=version,
                    method="GET",
                    status=500 if failed else 200,
                    latency_s=latency_s,
                    verdict=Verdict.RAN,
                    delivered_here=True,
                ),
                elapsed_s=now,
            )


def good(version: str, route: str, now: float, random: Random) -> tuple[bool, float]:
    """Both versions behave alike; one call in 200 fails."""
    return random.random() < 0.005, 0.1


def fails(version: str, route: str, now: float, random: Random) -> tuple[bool, float]:
    """Half of the new version's calls fail."""
    return version == "v2" and random.random() < 0.5, 0.1


def fails_on_one_route(version: str, route: str, now: float, random: Random) -> tuple[bool, float]:
    """The new version only fails on the less frequent route."""
    return version == "v2" and route == "order" and random.random() < 0.4, 0.1


def fails_late(version: str, route: str, now: float, random: Random) -> tuple[bool, float]:
    """The new version starts to fail after six seconds."""
    return version == "v2" and now > 6 and random.random() < 0.4, 0.1


def slow(version: str, route: str, now: float, random: Random) -> tuple[bool, float]:
    """Calls to the new version take eight times as long."""
    return False, 0.8 if version == "v2" else 0.1


def shared_fault(version: str, route: str, now: float, random: Random) -> tuple[bool, float]:
    """Both versions fail at the same rate for four seconds."""
    return 4 < now < 8 and random.random() < 0.2, 0.1


class EvidenceTest(unittest.TestCase):
    """What a holder knows of the calls."""

    def test_calls_of_an_earlier_step(self) -> None:
        """Guards against a leader without news that takes earlier calls for those of its step.

        After two windows it compared with nothing, so that all calls counted.
        """
        evidence = EvidenceAggregator()
        evidence.put(Evidence(5, "s", "n1", "v2", (("look", 40, 0, 0, 0),)))
        evidence.begin_step()
        for node in range(2, 20):
            evidence.put(Evidence(5, "s", f"n{node}", "v1", (("look", 40, 0, 0, 0),)))
            self.assertEqual(evidence.calls_since_step("v2"), 0)
        evidence.put(Evidence(5, "s", "n1", "v2", (("look", 52, 0, 0, 0),)))
        self.assertEqual(evidence.calls_since_step("v2"), 12)


class RolloutTest(unittest.TestCase):
    """From the order to the status."""

    def test_good_version_is_completed_in_time(self) -> None:
        """Guards against a good version that is rolled back or not completed in time."""
        for outcome in (good, shared_fault):
            with self.subTest(outcome.__name__):
                fleet = Fleet(outcome)
                fleet.run(ORDER.duration_s)
                self.assertEqual(fleet.phase, Phase.COMPLETED)
                phases = [phase for _, phase, _ in fleet.statuses]
                self.assertEqual(phases, [Phase.RUNNING, Phase.COMPLETED])
                self.assertLess(fleet.statuses[-1][2], ORDER.duration_s)

    def test_bad_version_is_rolled_back(self) -> None:
        """Guards against a bad version that gets too many calls or is rolled back too late."""
        for outcome in (fails, fails_on_one_route, fails_late, slow):
            with self.subTest(outcome.__name__):
                fleet = Fleet(outcome)
                fleet.run(ORDER.duration_s)
                self.assertEqual(fleet.phase, Phase.ROLLED_BACK)
                self.assertEqual(fleet.statuses[-1][1], Phase.ROLLED_BACK)
                self.assertLess(fleet.statuses[-1][2], ORDER.duration_s)
                self.assertLessEqual(fleet.new_calls, CANARY_SHARE * fleet.calls + CANARY_SLACK)
                if len(fleet.bad_answers) >= CANARY_SLACK:
                    shown_at = fleet.bad_answers[CANARY_SLACK - 1]
                    self.assertLess(fleet.last_new_call, shown_at + ROLLBACK_S)

    def test_holder_dies(self) -> None:
        """Guards against a rollout that is never finished after its holder has crashed."""
        for outcome, phase in ((good, Phase.COMPLETED), (fails, Phase.ROLLED_BACK)):
            with self.subTest(outcome.__name__):
                fleet = Fleet(outcome)
                fleet.run(1.0)
                fleet.dead.add(fleet.records[-1].holder)
                fleet.run(ORDER.duration_s - 1.0)
                self.assertEqual(fleet.phase, phase)
                self.assertEqual(fleet.statuses[-1][1], phase)

    def test_version_without_calls_is_not_completed(self) -> None:
        """Guards against completing a rollout of a version that has received no calls."""
        fleet = Fleet(good)
        fleet.dead.update(name for name in ("n1", "n3", "n5"))
        fleet.run(0.1)
        for core, counter, version in fleet.nodes.values():
            del core, version
            counter.observe = lambda record, **_: None  # type: ignore[method-assign]
        fleet.dead.clear()
        fleet.run(ORDER.duration_s)
        self.assertEqual(fleet.phase, Phase.ROLLED_BACK)

    def test_later_order_replaces_an_earlier_one(self) -> None:
        """Guards against applying a decision about one order to the next one."""
        fleet = Fleet(fails)
        fleet.run(ORDER.duration_s)
        core, _, _ = fleet.nodes["n0"]
        self.assertTrue(core.is_withdrawn("s", "v2"))
        core.on_order(RolloutOrder(9, "s", "v3", 16.0))
        core.on_record(fleet.records[-1])
        self.assertEqual(core.shares()["s"], VersionShare("v3", 0.0, 9, ("v2",)))
