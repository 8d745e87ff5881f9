"""Runs the examples in the docstrings of the log package and related modules."""

from __future__ import annotations

import doctest
import importlib
import unittest

MODULES = ("log.appender", "backoff", "log.budget", "log.fold", "log.lease", "log.marks")
MODULES += ("log.snapshot", "node.append_task")


class ExamplesTest(unittest.TestCase):
    """Guards against examples that no longer match the code."""

    def test_examples(self) -> None:
        """Fails if an example raised or printed something else."""
        for name in MODULES:
            result = doctest.testmod(importlib.import_module(f"citronrack.{name}"))
            self.assertGreater(result.attempted, 0, name)
            self.assertEqual(result.failed, 0, name)
