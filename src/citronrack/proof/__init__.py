"""Scenario runner, invariant checkers, and recording and replay of traces."""

from __future__ import annotations

from .checkers import CHECKERS
from .replay import replay
from .runner import run_scenario
from .trace import TraceWriter, TracingCore

__all__ = ["CHECKERS", "TraceWriter", "TracingCore", "replay", "run_scenario"]
