"""The tool that compares when nodes activated a version."""

from __future__ import annotations

import importlib.util
import sys
import unittest
from pathlib import Path
from types import ModuleType

TOOL = Path(__file__).resolve().parents[2] / "tools" / "version_delays.py"


def load_tool() -> ModuleType:
    """Return the module of the tool, which is not part of the package."""
    spec = importlib.util.spec_from_file_location("version_delays", TOOL)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


def line(node: str, version: int, time_s: float) -> str:
    """Return a log line of a node, without the prefix that the bench adds."""
    fields = f'"node": "{node}", "time": {time_s}, "version": {version}, "source": "store"'
    return f'{{{fields}, "event": "config_in_force"}}'


class VersionDelaysTest(unittest.TestCase):
    """Delays of versions in the logs of several nodes."""

    def test_late_node_is_found(self) -> None:
        """Guards against overlooking a late node that no request reveals."""
        tool = load_tool()
        lines = [
            line("a", 3, 10.0),
            line("b", 3, 10.1),
            "  13.5 c " + line("c", 3, 99.0),
            line("c", 3, 99.0)[:-20],
            '{"node": "a", "event": "node_started"}',
            "no line of a node",
        ]
        found = tool.delays(tool.arrivals(lines))
        self.assertEqual([arrival.node for arrival in found[3]], ["a", "c"])
        self.assertAlmostEqual(found[3][1].time_s - found[3][0].time_s, 3.5)
