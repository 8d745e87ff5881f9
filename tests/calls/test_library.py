"""The example on the library page."""

from __future__ import annotations

import contextlib
import io
import re
import unittest
from pathlib import Path

PAGE = Path(__file__).resolve().parents[2] / "docs" / "library" / "calls.md"


class LibraryPageTest(unittest.TestCase):
    """Runs the page's code as a user would."""

    def test_example_prints_what_the_page_says(self) -> None:
        """Guards against a page whose code or output is out of date."""
        text = PAGE.read_text(encoding="utf-8")
        code = re.search(r"```python\n(.*?)```", text, re.DOTALL)
        documented = re.search(r"It prints `(.*?)`", text)
        assert code is not None and documented is not None
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            exec(compile(code[1], str(PAGE), "exec"), {"__name__": "example"})
        self.assertEqual(printed.getvalue().strip(), documented[1])
