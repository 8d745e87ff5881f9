"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class Exit(IntEnum):
    """Exit codes of the commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4
