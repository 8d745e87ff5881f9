"""The decisions under load stay free of input, output, threads and clocks."""

from __future__ import annotations

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

import citronrack.decisions

FORBIDDEN = frozenset(
    {"asyncio", "concurrent", "pycurl", "select", "selectors", "socket", "threading", "time", "zmq"}
)


def imported(tree: ast.AST) -> Iterator[str]:
    """Yield the first part of the name of each absolute import."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and not node.level:
            yield (node.module or "").partition(".")[0]


class ImportsTest(unittest.TestCase):
    """Modules of the package of decisions."""

    def test_no_input_output_or_clock(self) -> None:
        """Guards against a decision that cannot be replayed, since it waits or reads a clock."""
        modules = sorted(Path(citronrack.decisions.__file__).parent.glob("*.py"))
        self.assertTrue(modules)
        for module in modules:
            with self.subTest(module=module.name):
                names = set(imported(ast.parse(module.read_text(encoding="utf-8"))))
                self.assertFalse(names & FORBIDDEN)
