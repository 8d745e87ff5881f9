"""Leadership of rollouts under cuts, freezes, restarts and faults of the store."""

from __future__ import annotations

import os
import unittest

from hypothesis import Phase as Stage
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from citronrack.hosted.evidence import Evidence
from citronrack.hosted.rollout_record import Phase
from citronrack.platform.operator import status_write

from .rollout_world import DURATION_S, NODES, SERVICE, TICK_S, RolloutWorld

EXAMPLES = int(os.environ.get("CITRONRACK_ROLLOUT_EXAMPLES", "60"))
"""Histories to explore; CI uses the default, longer runs by hand set the variable."""

SETTLED_S = 30.0
"""Time without disruptions after which every order is decided and reported: the takeover by the
last-ranked node, the time that is left to the order, and the final status."""

names = st.sampled_from(NODES)
spans = st.sampled_from((0.25, 0.5, 1.0, 2.0, 3.5, 6.0))


class RolloutMachine(RuleBasedStateMachine):
    """Random histories of one service's rollouts."""

    def __init__(self) -> None:
        super().__init__()
        self.world = RolloutWorld()
        self.versions = 1

    @initialize(bad=st.booleans(), seconds=spans)
    def order(self, bad: bool, seconds: float) -> None:
        """Begin with an order."""
        self.world.bad = bad
        self.world.give_order("v1")
        self.world.run(seconds)

    @rule()
    def order_again(self) -> None:
        """Replace the order once it is decided or in the middle of it."""
        self.versions += 1
        self.world.give_order(f"v{self.versions}")

    @rule(seconds=spans)
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.run(seconds)

    @rule(seconds=spans)
    def cut_the_holder_off(self, seconds: float) -> None:
        """Cut the holder off from the store and from the others, like a lost link."""
        if name := self.world.holder():
            self.world.isolate(name)
            self.world.nodes[name].refused = True
            self.world.run(seconds)

    @rule(name=names, both=st.booleans())
    def isolate(self, name: str, both: bool) -> None:
        """Cut a node off from the others, one way or both ways; it reaches the store."""
        pairs = {(other, name) for other in NODES}
        self.world.cuts |= pairs | ({(to, sender) for sender, to in pairs} if both else set())

    @rule(seconds=spans)
    def freeze_the_holder(self, seconds: float) -> None:
        """Freeze the holder for a while."""
        if name := self.world.holder():
            self.world.nodes[name].frozen = True
            self.world.run(seconds)
            self.world.thaw(name)

    @rule(name=names)
    def kill(self, name: str) -> None:
        """End a process."""
        self.world.kill(name)

    @rule(name=names)
    def start(self, name: str) -> None:
        """Start a process again."""
        self.world.start(name)

    @rule(name=names)
    def turn_away(self, name: str) -> None:
        """Let the store refuse all requests of a node."""
        self.world.nodes[name].refused = True

    @rule(name=names)
    def lose_an_answer(self, name: str) -> None:
        """Let the store execute the next append of a node and lose the answer."""
        self.world.nodes[name].loses = True

    @rule(name=names)
    def delay_appends(self, name: str) -> None:
        """Let the store hold the appends of a node."""
        self.world.nodes[name].slow = True

    @rule()
    def finish_appends(self) -> None:
        """Let the store execute the appends that it holds."""
        self.world.finish_appends()

    @rule()
    def heal(self) -> None:
        """End all disruptions."""
        self.world.heal()

    @rule()
    def keep_copy(self) -> None:
        """Let the platform copy the store."""
        self.world.keep_copy()

    @rule()
    def return_from_copy(self) -> None:
        """Let the store return from the copy; the operator writes its order again."""
        self.world.return_from_copy()

    @rule(heartbeats=st.integers(0, 40))
    def previous_release(self, heartbeats: int) -> None:
        """Let a holder of the previous release come back."""
        self.world.previous_release_returns(heartbeats)

    @invariant()
    def nothing_breached(self) -> None:
        """Fails if a decision, a share or a status went back, or a former holder changed one."""
        assert not self.world.breaches, self.world.breaches[0]

    def teardown(self) -> None:
        """Fails if an order is left undecided, or its status unreported, after all is well."""
        self.world.heal()
        self.world.run(DURATION_S + SETTLED_S)
        self.nothing_breached()
        record = self.world.latest
        assert record is not None and record.order_id == self.world.order.order_id, record
        assert record.decided, record
        assert self.world.statuses[-1] == status_write(SERVICE).derive(record.encode())
        for node in self.world.nodes.values():
            assert node.core.running(SERVICE) is None, node.name
            share = node.core.shares()[SERVICE].share
            assert share == (1.0 if record.phase == Phase.COMPLETED else 0.0), node.name


class RolloutMachineTest(RolloutMachine.TestCase):  # type: ignore[name-defined,misc]
    """Guards against two leaders of a rollout, and against a decision that is taken back."""

    settings = settings(
        max_examples=EXAMPLES,
        stateful_step_count=30,
        derandomize=EXAMPLES == 60,
        deadline=None,
        database=None,
        phases=(Stage.generate, Stage.shrink) if EXAMPLES != 60 else (Stage.generate,),
    )


class FormerHolderTest(unittest.TestCase):
    """The states of an order in a fixed order."""

    def setUp(self) -> None:
        self.world = RolloutWorld()
        self.world.give_order("v1")

    def test_holder_that_was_cut_off_does_not_undo_the_completion(self) -> None:
        """Guards against a cut-off leader that takes back what its successor has completed.

        It counted up its record while it reached nobody, so that it outranked the decision.
        """
        self.world.give_order("v2", duration_s=20.0)
        self.world.new_targets = ()
        self.world.run(1.0)
        former = self.world.holder()
        self.world.new_targets = tuple(name for name in NODES if name != former)
        self.world.isolate(former)
        self.world.nodes[former].refused = True
        self.world.run(18.0)
        self.assertEqual(self.phase(), Phase.COMPLETED)
        self.assertNotEqual(self.world.holder(), former)
        self.world.heal()
        self.world.run(5.0)
        self.assertEqual(self.world.breaches, [])
        self.assertEqual(self.phase(), Phase.COMPLETED)
        shares = {node.core.shares()[SERVICE].share for node in self.world.nodes.values()}
        self.assertEqual(shares, {1.0})

    def test_holder_that_the_store_turns_away_is_replaced(self) -> None:
        """Guards against a leader that only its peers hear, and that can decide nothing."""
        self.world.run(1.0)
        former = self.world.holder()
        self.world.nodes[former].refused = True
        self.world.run(DURATION_S - 1.0)
        self.assertNotEqual(self.world.holder(), former)
        self.assertEqual(self.phase(), Phase.COMPLETED)
        self.assertEqual(len(self.world.statuses), 2)

    def test_holder_that_hears_no_other_node_is_replaced(self) -> None:
        """Guards against a leader that reaches the store and gets no evidence."""
        self.world.run(1.0)
        former = self.world.holder()
        self.world.isolate(former)
        self.world.run(DURATION_S)
        self.assertNotEqual(self.world.holder(), former)
        self.assertEqual(self.phase(), Phase.COMPLETED)

    def test_last_node_completes_alone(self) -> None:
        """Guards against a rollout that waits for nodes that are gone for good."""
        self.world.run(1.0)
        self.world.new_targets = (self.world.holder(),)
        for name in NODES:
            if name != self.world.holder():
                self.world.kill(name)
        self.world.run(DURATION_S)
        self.assertEqual(self.phase(), Phase.COMPLETED)

    def test_new_holder_waits_for_the_evidence_of_all(self) -> None:
        """Guards against a verdict on a part of the evidence, right after a takeover."""
        self.world.run(1.0)
        former = self.world.holder()
        self.world.kill(former)
        while self.world.holder() == former:
            self.world.run(TICK_S)
        node = self.world.nodes[self.world.holder()]
        order_id = self.world.order.order_id
        partial = Evidence(order_id, SERVICE, "n9", "v1", (), "z", ((9, "r", 20, 10, 0, 0),))
        node.core.on_evidence(partial)
        self.world.run(TICK_S)
        rest = Evidence(order_id, SERVICE, "n8", "v0", (), "z", ((9, "r", 20, 10, 0, 0),))
        node.core.on_evidence(rest)
        self.world.run(DURATION_S)
        self.assertEqual(self.phase(), Phase.COMPLETED)

    def phase(self) -> str:
        """Return the phase in the store."""
        assert self.world.latest is not None
        return self.world.latest.phase
