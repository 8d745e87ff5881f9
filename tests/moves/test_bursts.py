"""Good versions while calls of both sides are slow in bursts."""

from __future__ import annotations

import unittest
from random import Random

from citronrack.config import Move
from citronrack.config.model import Step
from citronrack.moves.evaluator import VersionEvaluator
from citronrack.moves.evidence import BUCKET_MS, Counts, EvidenceStore, Side, Source
from citronrack.moves.policy import profiles

POLICY = profiles.get("trial")
SPAN_MS = 20_000
CALLS_A_BUCKET = 160
USUAL_RATE = 0.01
BURSTS = {"rare and strong": (0.15, 0.3), "frequent": (0.3, 0.2), "weak": (0.5, 0.1)}
"""Chance that a bucket is slow, and the part of its calls that are slow then."""

SEEDS = range(150)


def share_at(ms: int) -> float:
    """Return the share of the new version, if each step is cleared at once."""
    return max(step.share for step in POLICY.ramp if step.at * SPAN_MS <= ms)


def is_taken_back(seed: int, chance: float, part: float) -> bool:
    """Return whether a version is marked whose calls are as slow as those of the old one."""
    random = Random(seed)
    steps = tuple(Step(step.share, round(step.at * SPAN_MS)) for step in POLICY.ramp)
    move = Move("m", "r", "v1", "v2", 0, SPAN_MS, steps, POLICY.unproven_share, "trial")
    evaluator = VersionEvaluator([move], policy=POLICY, zones=1, first_bucket=0)
    store = EvidenceStore()
    for bucket in range((SPAN_MS + POLICY.watch_ms) // BUCKET_MS):
        rate = part if random.random() < chance else USUAL_RATE
        share = share_at(bucket * BUCKET_MS)
        for side, calls in (
            (Side.NEW, round(CALLS_A_BUCKET * share)),
            (Side.OLD, round(CALLS_A_BUCKET * (1 - share))),
        ):
            slow = sum(random.random() < rate for _ in range(calls))
            cell = store.cell(Source("n", "1", "m", "r", side), bucket)
            cell.add(Counts(calls=calls, slow=slow))
        evaluator.advance(store, through=bucket)
        if evaluator.regression() is not None:
            return True
    return False


class BurstsTest(unittest.TestCase):
    """Slow calls come together, because they share a cause."""

    def test_bursts_do_not_mark_a_good_version(self) -> None:
        """Guards against a good version that is taken back because its instances were busy."""
        for name, (chance, part) in BURSTS.items():
            with self.subTest(name):
                marked = sum(is_taken_back(seed, chance, part) for seed in SEEDS)
                self.assertLessEqual(marked / len(SEEDS), POLICY.alpha)
