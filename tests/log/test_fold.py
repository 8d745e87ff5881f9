"""The same records result in the same state, and a record takes effect once."""

from __future__ import annotations

import unittest
from typing import Any

import attrs

from citronrack.config import Change, Move, Route, Service, ServiceVersion, Step
from citronrack.log import (
    Cancelled,
    Claim,
    Confirmed,
    Envelope,
    LogFold,
    Marked,
    MoveOutcome,
    SeedList,
    encode_record,
)
from citronrack.log._writers import KEPT_WRITERS
from citronrack.log.fold import KEPT_PLANS, KEPT_SEED_ZONES
from citronrack.log.marks import is_obsolete
from citronrack.log.records import Duty, MoveResult

CATALOGUE = Service("catalogue", {v: ServiceVersion(v) for v in ("1.0", "2.0")})
FIRST = Change(put_services=(CATALOGUE,), put_routes=(Route("r", "/", "catalogue", "1.0"),))


def confirmed(plan_id: str, base_version: int, change: Change = FIRST) -> Confirmed:
    """Return a confirmation that has not expired."""
    return Confirmed(plan_id, base_version, change, 0, 1, "operator")


class LogFoldTest(unittest.TestCase):
    """Guards against lost updates, duplicate effects and writes of a paused lease holder."""

    def setUp(self) -> None:
        self.fold = LogFold()

    def apply(self, body: Any, *, writer: str = "a/1", sequence: int | None = None) -> str:
        """Append ``body`` and return the reason why it had no effect, or an empty text."""
        offset = self.fold.next_offset
        number = offset + 1 if sequence is None else sequence
        result = self.fold.apply(offset, encode_record(Envelope(writer, number, 0, body)))
        self.assertEqual(result.accepted, not result.reason)
        return result.reason

    def test_second_of_two_racing_operators_is_refused(self) -> None:
        """Fails if a confirmation could overwrite one that its base version does not include."""
        self.assertEqual(self.apply(confirmed("p1", -1)), "")
        self.assertIn("version 0 is in force", self.apply(confirmed("p2", -1), writer="b/1"))
        self.assertEqual(self.fold.config.version, 0)
        self.assertFalse(self.fold.state.plans["p2"].accepted)

    def test_retried_append_takes_effect_once(self) -> None:
        """Fails if a retry after a lost response took effect as a second record."""
        self.apply(Claim(Duty.OUTCOMES, 1, "a", 1000), sequence=1)
        self.assertEqual(self.apply(Claim(Duty.OUTCOMES, 2, "a", 1000), sequence=1), "duplicate")
        self.assertEqual(self.fold.state.leases["outcomes"].term, 1)

    def test_refused_record_that_arrives_again_stays_refused(self) -> None:
        """Guards against a record that was refused for its offset and takes effect as a duplicate.

        Its epoch lies after its offset the first time, and before it the second time.
        """
        self.apply(confirmed("p1", -1))
        mark = Marked("catalogue", "2.0", 5, "slow", "", 9, 0, "z")
        data = encode_record(Envelope("c", 1, 0, mark))
        first = self.fold.apply(self.fold.next_offset, data)
        self.assertEqual((first.accepted, bool(first.reason)), (False, True))
        while self.fold.next_offset <= mark.epoch:
            self.fold.apply(self.fold.next_offset, b"")
        again = self.fold.apply(self.fold.next_offset, data)
        self.assertEqual((again.accepted, again.reason), (False, "duplicate"))

    def test_confirming_twice_keeps_the_first_result(self) -> None:
        """Fails if a second confirmation of the same plan reported a refusal of the first."""
        self.apply(confirmed("p1", -1))
        self.assertIn("already in force", self.apply(confirmed("p1", -1), writer="b/1"))
        self.assertTrue(self.fold.state.plans["p1"].accepted)

    def test_first_claim_of_a_term_wins_and_old_terms_are_ignored(self) -> None:
        """Fails if a holder that was paused past its lease could still write."""
        self.assertEqual(self.apply(Claim(Duty.OUTCOMES, 1, "a", 1000)), "")
        self.assertIn("at term 1", self.apply(Claim(Duty.OUTCOMES, 1, "b", 1000), writer="b/1"))
        self.assertEqual(self.apply(Claim(Duty.OUTCOMES, 2, "b", 1000), writer="b/1"), "")
        late = MoveOutcome(1, "m", 0, MoveResult.FINISHED_IN_TIME, "", 0)
        self.assertEqual(self.apply(late), "lease term has passed")

    def start_move(self, to_version: str) -> int:
        """Confirm a move of route ``r`` and return its epoch."""
        config = self.fold.config
        old = config.routes["r"].service_version
        step = Step(1.0, 0)
        move = Move("m", "r", old, to_version, 0, 10, (step,), 0.1, "spoorhout")
        plan = confirmed(f"m{self.fold.next_offset}", config.version, Change(put_moves=(move,)))
        self.assertEqual(self.apply(plan), "")
        return self.fold.config.version

    def test_only_a_duty_holder_decides_and_a_decision_stays(self) -> None:
        """Fails if a bad version kept a route, or a decided move was undone or decided again."""
        self.apply(confirmed("p1", -1))
        self.apply(Claim(Duty.OUTCOMES, 1, "a", 60_000))
        first = self.start_move("2.0")
        self.apply(Marked("catalogue", "2.0", first, "slow", "r", 9, 0, "z"))
        finished = MoveOutcome(1, "m", first, MoveResult.FINISHED_IN_TIME, "", 0)
        self.assertIn("marked as bad", self.apply(finished))
        self.assertEqual(self.apply(attrs.evolve(finished, result=MoveResult.TAKEN_BACK)), "")
        self.assertEqual(self.fold.config.routes["r"].service_version, "1.0")
        second = self.start_move("2.0")
        self.assertEqual(self.apply(Cancelled("m", first, "o")), "move is not open")
        self.assertEqual(self.apply(attrs.evolve(finished, epoch=second)), "")
        self.assertEqual(self.fold.config.routes["r"].service_version, "2.0")
        self.assertEqual(self.apply(Cancelled("m", second, "o")), "move is not open")
        self.assertEqual(self.fold.config.routes["r"].service_version, "2.0")

    def test_change_of_a_route_with_an_open_move_is_a_conflict(self) -> None:
        """Fails if a plan could change a route with an open move, or was refused without reason."""
        self.apply(confirmed("p1", -1))
        epoch = self.start_move("2.0")
        route = Route("r", "/", "catalogue", "2.0")
        for change in (Change(remove_routes=("r",)), Change(put_routes=(route,))):
            reason = self.apply(confirmed(f"c{self.fold.next_offset}", epoch, change))
            self.assertRegex(reason, "route 'r' cannot .* its move 'm' is open")
        both = Change(remove_routes=("r",), remove_moves=("m",))
        self.assertEqual(self.apply(confirmed("last", epoch, both)), "")
        self.assertEqual(self.fold.state.outcomes["m"].result, "cancelled")

    def test_marks_do_not_pile_up(self) -> None:
        """Fails if marks outlived their version, or an invalid epoch hid later marks."""
        self.apply(confirmed("p1", -1))
        for _ in range(20):
            epoch = self.start_move("2.0")
            mark = Marked("catalogue", "2.0", epoch, "slow", "r", 9, 0, "z")
            self.assertIn("epoch", self.apply(attrs.evolve(mark, epoch=10**9)))
            self.assertEqual(self.apply(mark), "")
            self.assertTrue(is_obsolete(self.fold.state, mark))
            self.apply(Cancelled("m", epoch, "o"))
            self.assertEqual([m.epoch for m in self.fold.state.marks.values()], [epoch])
        without = Change(put_services=(Service("catalogue", {"1.0": ServiceVersion("1.0")}),))
        self.apply(confirmed("last", self.fold.config.version, without))
        self.assertEqual(self.fold.state.marks, {})
        self.assertIn("not configured", self.apply(mark))
        self.assertTrue(is_obsolete(self.fold.state, mark))

    def test_state_stays_bounded(self) -> None:
        """Fails if writers, seeds, duties or plans of a long history were all kept."""
        self.assertIn("does not exist", self.apply(Claim("foreign", 1, "a", 60_000)))
        for number in range(KEPT_WRITERS + 100):
            self.apply(SeedList(f"z{number}", ("a",)), writer=f"w{number}/1", sequence=1)
            self.apply(confirmed(f"p{number}", 7), writer="b/1")
        state = self.fold.state
        self.assertLessEqual(len(state.writers), KEPT_WRITERS)
        self.assertLessEqual(len(state.seeds), KEPT_SEED_ZONES)
        self.assertLessEqual(len(state.plans), KEPT_PLANS)
        too_long = Cancelled("m" * 2_000, 0, "o")
        self.assertIn("longer than", self.apply(too_long))

    def test_undecodable_record_is_skipped_by_all(self) -> None:
        """Fails if one damaged record stopped the fold."""
        self.assertFalse(self.fold.apply(0, b"\xff\x00").accepted)
        self.assertEqual(self.fold.next_offset, 1)

    def test_snapshot_continues_like_the_original(self) -> None:
        """Fails if a node started from a snapshot differed from one that folded all records."""
        self.apply(confirmed("p1", -1))
        self.apply(Claim(Duty.OUTCOMES, 1, "a", 1000))
        copy = LogFold.from_snapshot(self.fold.to_snapshot())
        data = encode_record(Envelope("a/1", 2, 0, Claim(Duty.OUTCOMES, 2, "a", 1000)))
        self.assertEqual(copy.apply(2, data), self.fold.apply(2, data))
        self.assertEqual(copy.state, self.fold.state)
