"""Complete moves with scripted service versions, in one process on a manual clock."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from citronrack.bench.moves_fleet import NEW, OLD, MoveFleet
from citronrack.bench.moves_parts import HARBOR_LANTERN, SPOORHOUT, Deployment
from citronrack.bench.moves_versions import versions
from citronrack.log.records import MoveOutcome, MoveResult
from citronrack.moves import profiles
from citronrack.moves.outcome import OUTCOME_GRACE_MS

SIZES: dict[str, Deployment] = {"spoorhout": SPOORHOUT, "harbor-lantern": HARBOR_LANTERN}
IN_TIME = {MoveResult.FINISHED_IN_TIME.value}
TAKEN_BACK = {MoveResult.TAKEN_BACK.value}
LIMIT_S = 560.0
REACTION_S = 4.0  # simulated time in which a mark spreads to all reachable nodes


def make_fleet(
    version: str, *, profile: str = "spoorhout", seed: int = 1, **options: float
) -> MoveFleet:
    """Return a fleet with coarse ticks."""
    scripted = versions.get(version)
    limits = {"deadline_s": 200.0, "tick_s": 1.0, **options}
    fleet = MoveFleet(SIZES[profile], profile=profile, version=scripted, seed=seed, **limits)  # type: ignore[arg-type]
    fleet.counts_bytes = False
    return fleet


def results(fleet: MoveFleet) -> set[str]:
    """Return the results of all moves."""
    return {outcome.result for outcome in fleet.newest.state.outcomes.values()}


class MoveFleetTest(unittest.TestCase):
    """Guards against bad versions that stay, good ones that are taken back, and wrong outcomes."""

    def run_to_end(self, fleet: MoveFleet, each: Callable[[], None] = lambda: None) -> None:
        """Step until all moves are decided; check the share limit and marks after each tick."""
        first_mark_s: float | None = None
        while not fleet.decided() and fleet.clock.monotonic() < LIMIT_S:
            each()
            fleet.step()
            now = fleet.clock.monotonic()
            if first_mark_s is None and any(node.core.marks() for node in fleet.nodes):
                first_mark_s = now
            for node in fleet.nodes:
                if node.is_paused or not node.is_alive:
                    continue
                for status in node.core.statuses():
                    if status.cleared == 0:
                        self.assertLessEqual(status.share, profiles.get("spoorhout").unproven_share)
                    cut_off = bool(fleet.cut)
                    if first_mark_s is not None and now > first_mark_s + REACTION_S and not cut_off:
                        self.assertEqual(status.share, 0.0)
        self.assertTrue(fleet.decided())

    def test_bad_versions_are_taken_back(self) -> None:
        """Fails if the new version kept its traffic despite a scripted fault."""
        bad = [name for name in versions if versions.get(name).bad_from_s is not None]
        for number, name in enumerate(bad):
            profile = ("spoorhout", "harbor-lantern")[number % 2]
            with self.subTest(name, profile=profile):
                fleet = make_fleet(name, profile=profile, seed=number)
                self.run_to_end(fleet)
                self.assertEqual(results(fleet), TAKEN_BACK)
                outcome = next(iter(fleet.newest.state.outcomes.values()))
                self.assertGreater(outcome.calls, 0)
                self.assertIn("old version", outcome.detail)

    def test_good_versions_move_in_time_through_faults(self) -> None:
        """Fails if shared faults, cold targets or a log outage took back or delayed a good one."""
        good = [name for name in versions if versions.get(name).bad_from_s is None]
        for number, name in enumerate(good):
            profile = ("harbor-lantern", "spoorhout")[number % 2]
            with self.subTest(name, profile=profile):
                fleet = make_fleet(name, profile=profile, seed=number, deadline_s=240.0)

                def outage(fleet: MoveFleet = fleet) -> None:
                    fleet.log_down = 20 <= fleet.age_s < 120

                self.run_to_end(fleet, outage)
                self.assertEqual(results(fleet), IN_TIME)

    def test_outcome_is_unknown_while_a_zone_is_cut_off_and_decided_after(self) -> None:
        """Fails if a move finished, or its facts were removed, while a zone was unreachable."""
        fleet = make_fleet("good")
        zone = fleet.deployment.zones[-1]
        seen: list[tuple[str, tuple[str, ...]]] = []

        def cut() -> None:
            fleet.cut = {zone} if 20 <= fleet.age_s < 300 else set()
            self.assertEqual(fleet.nodes[0].core.stale_facts(), [])
            for outcome in fleet.newest.state.outcomes.values():
                entry = (outcome.result, outcome.missing_zones)
                if entry not in seen:
                    seen.append(entry)

        self.run_to_end(fleet, cut)
        self.assertEqual(seen, [(MoveResult.UNKNOWN.value, (zone,))])
        facts = {fact.key for fact in fleet.nodes[0].facts.items()}
        self.assertEqual(set(fleet.nodes[0].core.stale_facts()), facts)
        self.assertEqual(results(fleet), IN_TIME)

    def test_cut_off_zone_takes_back_on_its_own_evidence(self) -> None:
        """Fails if a zone cut off from all others kept sending calls to a bad version."""
        fleet = make_fleet("bad later", seed=5)
        zone = fleet.deployment.zones[-1]
        fleet.cut = {zone}
        fleet.run_until(lambda: fleet.age_s > 30, limit_s=60)
        fleet.cut = set()
        fleet.run_until(lambda: fleet.age_s > 60, limit_s=90)
        fleet.cut = {zone}
        fleet.run_until(lambda: fleet.age_s > 130, limit_s=150)
        self.assertEqual([fleet.share(z) for z in fleet.deployment.zones], [0.0] * 3)
        self.assertTrue(fleet.fold(zone).config.moves)

    def test_paused_holder_and_lost_answers_leave_one_outcome(self) -> None:
        """Fails if a holder that lost its duty, or a retried append, could change an outcome."""
        fleet = make_fleet("bad at once", seed=3)
        fleet.lose_answers = True
        old, new = fleet.nodes[0], fleet.nodes[1]
        fleet.run_until(lambda: bool(old.core.marks()), limit_s=60)
        old.is_paused = True
        fleet.run_until(lambda: False, limit_s=fleet.clock.monotonic() + OUTCOME_GRACE_MS / 1000)
        kept = [body for body in old.core.due_records() if isinstance(body, MoveOutcome)]
        self.assertEqual(len(kept), 2)
        fleet.claim(new, 2)
        for body in kept:
            fleet.append(old, body)
        self.run_to_end(fleet)
        written = dict(fleet.newest.state.outcomes)
        self.assertEqual({outcome.duty_term for outcome in written.values()}, {2})
        for body in kept:
            fleet.append(old, body)
        fleet.run_until(lambda: False, limit_s=fleet.clock.monotonic() + 5)
        self.assertEqual(fleet.newest.state.outcomes, written)
        self.assertEqual(len(fleet.newest.state.marks), 1)

    def test_marked_version_stays_while_no_target_of_the_old_one_is_left(self) -> None:
        """Fails if calls were routed back to a version without targets, or the status hid it."""
        fleet = make_fleet("bad after the end", seed=2)
        fleet.run_until(lambda: fleet.share(fleet.deployment.zones[0]) == 1, limit_s=200)
        for node in fleet.nodes:
            node.is_alive = node.member.service_version != OLD
        alive = [node for node in fleet.nodes if node.is_alive]
        marked = lambda: all(node.core.marks() for node in alive)  # noqa: E731
        self.assertTrue(fleet.run_until(marked, limit_s=300))
        fleet.run_until(lambda: False, limit_s=fleet.clock.monotonic() + 15)
        status = alive[0].core.statuses()[0]
        self.assertEqual((status.share, status.marked), (1.0, True))
        self.assertIn(f"no target of {OLD} is left", status.reason)
        for node in fleet.nodes:
            node.is_alive = True
        self.run_to_end(fleet)
        self.assertEqual(results(fleet), TAKEN_BACK)

    def test_evaluating_nodes_can_be_replaced(self) -> None:
        """Fails if new evaluating nodes did not continue the ramp, or missed a later fault."""
        fleet = make_fleet("bad under load", seed=4)
        zone = fleet.deployment.zones[0]
        fleet.run_until(lambda: fleet.age_s > 40, limit_s=60)
        for node in [node for node in fleet.nodes if node.zone == zone][:2]:
            node.is_demoted = True
        fleet.cut = {zone}
        self.assertTrue(fleet.run_until(lambda: fleet.share(zone) == 0.5, limit_s=140))
        self.assertTrue(fleet.run_until(lambda: fleet.share(zone) == 0.0, limit_s=140))

    def test_insufficient_evidence_follows_the_profile(self) -> None:
        """Fails if a move without evidence did not end as its profile specifies."""
        for profile, wanted in (("spoorhout", IN_TIME), ("harbor-lantern", TAKEN_BACK)):
            with self.subTest(profile):
                fleet = make_fleet("good", profile=profile)
                fleet.calls_factor = 0.004
                self.run_to_end(fleet)
                self.assertEqual(results(fleet), wanted)

    def test_version_without_targets_gets_no_calls(self) -> None:
        """Fails if calls were sent to a version that no target serves."""
        fleet = make_fleet("good")
        for node in fleet.nodes:
            node.is_alive = node.member.service_version != NEW
        fleet.run_until(lambda: fleet.age_s > 30, limit_s=60)
        status = fleet.nodes[0].core.statuses()[0]
        self.assertEqual(status.share, 0.0)
        self.assertIn(f"no target of {NEW} is announced", status.reason)
        self.assertEqual(fleet.tally.new_calls, 0)
