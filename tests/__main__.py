"""Runs all tests and prints the counts.

Tests listed in ``KNOWN-RED.txt`` are skipped and printed. Unlike ``python -m unittest`` of
Python 3.11, the exit code is 1 when no test ran.
"""

from __future__ import annotations

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Return the test ids on the ``test:`` lines of ``KNOWN-RED.txt``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield all test cases of a suite."""
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            yield from flatten(entry)
        else:
            yield entry


def main() -> int:
    """Run the tests whose ids start with one of the arguments, or all tests."""
    wanted = tuple(f"tests.{name.removeprefix('tests.')}" for name in sys.argv[1:])
    loaded = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    red = known_red()
    # A module that cannot be imported is a test case of the loader and always selected.
    always = ("unittest.loader.", *wanted)
    chosen = [case for case in flatten(loaded) if not wanted or case.id().startswith(always)]
    skipped = [case.id() for case in chosen if case.id() in red]
    suite = unittest.TestSuite(case for case in chosen if case.id() not in red)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    for name in skipped:
        print(f"known red, not run: {name}")
    missing = sorted(red - {case.id() for case in flatten(loaded)}) if not wanted else []
    for name in missing:
        print(f"listed in KNOWN-RED.txt but does not exist: {name}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(skipped) + len(result.skipped)} skipped")
    return 1 if failed or missing or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
