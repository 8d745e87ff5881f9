"""Readiness: a node is ready when its configuration is proven current, or marked unproven."""

from __future__ import annotations

import unittest

import attrs

from citronrack.node.readiness import Readiness, ReadinessGate, ReadinessInputs

CURRENT = ReadinessInputs(offset=10, version=9, log_end=10, log_failing_s=0, peer_offsets={})
LOG_DOWN = attrs.evolve(CURRENT, log_end=None, log_failing_s=60.0)


class ReadinessGateTest(unittest.TestCase):
    """Guards against serving calls with an older version after a restart."""

    def test_states(self) -> None:
        """Fails if a node becomes ready without a proof and is not marked unproven."""
        cases = [
            ("at the log's end", CURRENT, Readiness.READY),
            ("behind the log's end", attrs.evolve(CURRENT, offset=9), Readiness.NOT_READY),
            ("empty log", attrs.evolve(CURRENT, version=-1), Readiness.NOT_READY),
            ("log down, no peer", LOG_DOWN, Readiness.NOT_READY),
            (
                "log down for a moment",
                attrs.evolve(LOG_DOWN, log_failing_s=1.0, peer_offsets={"a": 10}),
                Readiness.NOT_READY,
            ),
            (
                "log down, offset of a peer unknown",
                attrs.evolve(LOG_DOWN, peer_offsets={"a": 10, "b": None}),
                Readiness.NOT_READY,
            ),
            (
                "log down, a peer is ahead",
                attrs.evolve(LOG_DOWN, peer_offsets={"a": 11}),
                Readiness.NOT_READY,
            ),
            (
                "log down, level with all peers",
                attrs.evolve(LOG_DOWN, peer_offsets={"a": 10, "b": 8}),
                Readiness.READY_UNPROVEN,
            ),
        ]
        for name, inputs, expected in cases:
            with self.subTest(name):
                gate = ReadinessGate()
                self.assertEqual(gate.update(inputs), expected)
                self.assertEqual(gate.reason == "", expected is Readiness.READY)

    def test_unproven_becomes_proven(self) -> None:
        """Fails if a node stays unproven after the log has recovered."""
        gate = ReadinessGate()
        gate.update(attrs.evolve(LOG_DOWN, peer_offsets={"a": 10}))
        self.assertEqual(gate.update(CURRENT), Readiness.READY)
