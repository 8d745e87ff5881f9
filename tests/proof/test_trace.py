"""A recorded node can be replayed; differences and damage are reported with their line."""

from __future__ import annotations

import re
import tempfile
import unittest
from pathlib import Path
from random import Random

from citronrack.proof.replay import TraceError, replay
from citronrack.proof.runner import run_scenario
from citronrack.proof.source import parse_scenario
from citronrack.proof.trace import TraceWriter

from . import broken

RECORDED = b"""
name: recorded
about: a run with all kinds of inputs
seconds: 20
world: {deployment: spoorhout, links: {loss: 0.05}}
events:
  - {at: 5, do: publish, route: lookups, timeout_ms: 3000, repeat: 3, every_s: 1}
  - {at: 8, do: log_outage, for_s: 4}
  - {at: 9, do: restart, node: catalogue-2, down_s: 1}
"""


class TraceTest(unittest.TestCase):
    """Guards against decisions that depend on more than recorded inputs, and damaged traces."""

    @classmethod
    def setUpClass(cls) -> None:
        """Record two successive processes of one node."""
        cls._folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls._folder.cleanup)
        cls.base = Path(cls._folder.name)
        traces = {"catalogue-2": str(cls.base / "node")}
        run_scenario(parse_scenario(RECORDED, source="r.yaml"), seed=4, traces=traces)
        cls.first, cls.second = cls.base / "node.1", cls.base / "node.2"

    def test_replay_repeats_all_decisions(self) -> None:
        """Fails if the trace lacks the clock, random numbers, the load or an input."""
        for path in (self.first, self.second):
            result = replay(path)
            self.assertIsNone(result.difference)
            self.assertGreater(result.steps, 30)
            self.assertEqual(result.end, "stopped")

    def test_first_difference_is_named(self) -> None:
        """Fails if a changed decision is missed, or reported for a wrong line."""
        with broken.use_core_class(broken.StuckCore):
            changed = replay(self.first, write=self.base / "stuck")
        self.assertIsNotNone(changed.difference)
        line = self.first.read_text().splitlines()[changed.difference.line - 1]
        self.assertIn(f'"step":{changed.difference.step},', line)
        self.assertIn('"version":', line)
        against = replay(self.first, expect=self.base / "stuck")
        self.assertEqual(against.difference.line, changed.difference.line)

    def test_damage_is_named_by_line(self) -> None:
        """Fails if a damaged, truncated or reordered trace is replayed without an error."""
        data, random = self.second.read_bytes(), Random(5)
        lines = data.splitlines(keepends=True)
        variants = [b"".join(lines[:-1]), b"".join([*lines[:3], *lines[4:]]), b"", data + lines[1]]
        variants.append(b"".join([*lines[:2], lines[3], lines[2], *lines[4:]]))
        for _ in range(20):
            position = random.randrange(len(data) - 1)
            variants.append(data[:position] + bytes((data[position] ^ 1,)) + data[position + 1 :])
            variants.append(data[:position])
        path = self.base / "damaged"
        for variant in variants:
            path.write_bytes(variant)
            with self.assertRaises(TraceError) as caught:
                replay(path)
            self.assertTrue(re.match(rf"{re.escape(str(path))}:\d+: ", str(caught.exception)))

    def test_size_is_bounded(self) -> None:
        """Fails if a trace can fill a node's memory or disk, or ends without a reason."""
        limit = 20_000
        original = TraceWriter.__init__.__kwdefaults__["limit_bytes"]
        TraceWriter.__init__.__kwdefaults__["limit_bytes"] = limit
        try:
            result = replay(self.first, write=self.base / "small")
        finally:
            TraceWriter.__init__.__kwdefaults__["limit_bytes"] = original
        self.assertIsNone(result.difference)
        self.assertLessEqual((self.base / "small").stat().st_size, limit)
        self.assertEqual(replay(self.base / "small").end, "limit")
