"""Runs a node from a settings file."""

from __future__ import annotations

from collections.abc import Callable

from ..errors import SettingsError
from ..settings import load_settings
from .exits import Exit


def run_node(path: str, *, write_error: Callable[[str], None]) -> int:
    """Run a node until the process receives a stop signal, and return the exit code.

    Args:
        path: Path of the settings file.
        write_error: Called with one line per error in the settings, before any socket is opened.
    """
    try:
        settings = load_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            write_error(fault)
        return Exit.FAILED
    from ..node.compose import compose

    compose(settings).run()
    return Exit.OK
