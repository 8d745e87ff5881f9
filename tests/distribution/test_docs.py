"""The code examples of the library pages."""

from __future__ import annotations

import contextlib
import io
import re
import unittest
from pathlib import Path

LIBRARY = Path(__file__).resolve().parents[2] / "docs" / "library"


class LibraryExampleTest(unittest.TestCase):
    """Guards against examples that no longer work."""

    def run_example(self, page: str) -> str:
        """Run the example of a page and return its output."""
        text = (LIBRARY / page).read_text(encoding="utf-8")
        found = re.search(r"```python\n(.*?)```", text, re.DOTALL)
        assert found is not None
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            exec(found.group(1), {"__name__": "example"})
        return output.getvalue().strip()

    def test_examples_print_what_their_comments_say(self) -> None:
        """Fails if an example raises or its output differs from its comment."""
        self.assertEqual(self.run_example("membership.md"), "['a', 'b', 'c']")
        three = [[b"first", b"second"]] * 3
        self.assertEqual(self.run_example("distribution.md"), str(three))


if __name__ == "__main__":
    unittest.main()
