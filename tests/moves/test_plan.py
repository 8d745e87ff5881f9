"""Plans are deterministic and complete, and shares stay within their limits."""

from __future__ import annotations

import json
import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from citronrack.config import Change, ConfigSet, Route, Service, ServiceVersion, apply_change
from citronrack.errors import ConfigInvalid
from citronrack.moves import (
    Capacity,
    Intent,
    MoveIntent,
    Plan,
    make_plan,
    picks_new,
    profiles,
    share_of,
)
from citronrack.moves.plan import plan_digest
from citronrack.plain import from_plain, to_plain

START, DEADLINE = 1_000_000, 1_300_000
SERVICE = Service("s", {name: ServiceVersion(name) for name in ("1", "2")})
BASE = apply_change(
    ConfigSet(),
    Change(put_services=(SERVICE,), put_routes=(Route("r", "/", "s", "1"),)),
    version=3,
)
INTENT = Intent(moves=(MoveIntent("r", "2", DEADLINE),))


def plan_for(intent: Intent = INTENT, **changes: object) -> Plan:
    """Return a plan made at `START`."""
    options = {"now_ms": START, "default_profile": "spoorhout", **changes}
    return make_plan(intent, BASE, **options)  # type: ignore[arg-type]


class PlanTest(unittest.TestCase):
    """Guards against plans that differ, hide risks or exceed the share limit."""

    def test_same_intent_gives_same_plan_and_any_change_another_id(self) -> None:
        """Fails if an altered plan had the id of the original one."""
        plan = plan_for()
        self.assertEqual(plan, plan_for())
        self.assertEqual(plan.plan_id, plan_digest(plan))
        copy = from_plain(json.loads(json.dumps(to_plain(plan))), Plan, name="plan")
        self.assertEqual(copy, plan)
        for changed in ({"warnings": ("x",)}, {"guards": ()}, {"expires_ms": 1}):
            self.assertNotEqual(plan_digest(attrs.evolve(plan, **changed)), plan.plan_id)

    def test_profile_of_the_intent_decides_ramp_and_guards(self) -> None:
        """Fails if an intent's profile were ignored, or an unknown one accepted."""
        for name in profiles:
            plan = plan_for(attrs.evolve(INTENT, profile=name))
            move = plan.change.put_moves[0]
            self.assertEqual(
                [s.share for s in move.steps], [s.share for s in profiles.get(name).ramp]
            )
            self.assertEqual(plan.guards[0].profile, name)
        with self.assertRaisesRegex(ConfigInvalid, "harbor-lantern"):
            plan_for(attrs.evolve(INTENT, profile="no-such"))

    def test_risks_are_named(self) -> None:
        """Fails if a plan did not list its risks."""
        known = {"1": Capacity(4, 24, 30, calls_per_second=2.0), "2": Capacity(1, 6)}
        text = "\n".join(plan_for(capacity=lambda _, v: known[v]).warnings)
        self.assertIn("deadline is too short", text)
        self.assertIn("6 slots", text)
        none = plan_for(capacity=lambda _, v: Capacity(0 if v == "2" else 4))
        self.assertIn("has no target", "\n".join(none.warnings))
        self.assertEqual([r.targets for r in none.resources], [4, 0])
        removal = Intent(services=(Service("s", {"1": ServiceVersion("1")}),))
        text = "\n".join(plan_for(removal, capacity=lambda _, v: Capacity(2)).warnings)
        self.assertIn("s 2 is removed but 2 targets", text)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.integers(START - 10, DEADLINE + 10), st.integers(0, 6), st.sampled_from(list(profiles))
    )
    def test_share_limits(self, now_ms: int, cleared: int, profile: str) -> None:
        """Fails if time alone increased the share of an unproven, uncleared or marked version."""
        move = plan_for(attrs.evolve(INTENT, profile=profile)).change.put_moves[0]
        move = attrs.evolve(move, unproven_share=move.steps[0].share / 2)
        share = share_of(move, now_ms, cleared, False)
        self.assertEqual(share_of(move, now_ms, cleared, True), 0.0)
        self.assertEqual(share > 0, now_ms >= START)
        limit = move.steps[min(cleared, len(move.steps) - 1)].share
        self.assertLessEqual(share, limit)
        if cleared == 0:
            self.assertLessEqual(share, move.unproven_share)
        self.assertLessEqual(share, share_of(move, now_ms + 1, cleared + 1, False))

    def test_keys_stay_on_the_new_side_while_the_share_grows(self) -> None:
        """Fails if a caller alternated between versions, or the calls did not match the share."""
        move = plan_for().change.put_moves[0]
        keys = [f"key-{n}" for n in range(4_000)]
        before: set[str] = set()
        for share in (0.0, 0.05, 0.25, 0.5, 1.0):
            now = {key for key in keys if picks_new(key, move, share)}
            self.assertLessEqual(before, now)
            self.assertAlmostEqual(len(now) / len(keys), share, delta=0.03)
            before = now
