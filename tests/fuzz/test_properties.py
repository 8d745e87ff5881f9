"""Generated inputs neither stop the control task nor lead to an invalid state."""

from __future__ import annotations

import unittest

from citronrack.proof import fuzz

EXAMPLES = 60


class PropertyTest(unittest.TestCase):
    """Guards against inputs that no other test covers.

    ``python -m citronrack.proof.fuzz`` runs the same properties for longer.
    """

    def test_core_accepts_inputs_in_any_order(self) -> None:
        """Fails if some order of messages from nodes and tasks and ticks stops the control task."""
        fuzz.check("core-inputs", examples=EXAMPLES)

    def test_two_cores_agree(self) -> None:
        """Fails if the state depends on how the records arrive."""
        fuzz.check("two-cores", examples=EXAMPLES)

    def test_damaged_messages(self) -> None:
        """Fails if a damaged message stops the control task."""
        fuzz.check("message-bytes", examples=EXAMPLES)

    def test_damaged_files(self) -> None:
        """Fails if a damaged file of an operator causes a traceback."""
        for name in ("settings-files", "scenario-files", "trace-files"):
            with self.subTest(name):
                fuzz.check(name, examples=EXAMPLES)
