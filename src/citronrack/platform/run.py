"""Runs a node with the adapter to the platform."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..errors import SettingsError
from ..hosted.compose import PlatformAdapter, compose
from ..hosted.settings import HostedSettings
from .answers import decode_notice
from .names import HEADERS, is_readiness_request
from .operator import operator_topic
from .reports import decode_report
from .settings import parse_settings
from .store import PlatformStore


class SettingsFile:
    """The settings file, which may change while the node runs.

    Args:
        path: The file.

    Raises:
        SettingsError: If the file is unreadable or invalid.
    """

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._content = self._read()
        self._settings = parse_settings(self._content, source=path)

    @property
    def settings(self) -> HostedSettings:
        """The settings of the last successful read."""
        return self._settings

    def reload(self) -> bool:
        """Read the file again; return whether the settings have changed.

        Raises:
            SettingsError: If the file is unreadable or invalid; it may be partially written.
        """
        content = self._read()
        if content == self._content:
            return False
        self._settings = parse_settings(content, source=str(self._path))
        self._content = content
        return True

    def _read(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError as error:
            raise SettingsError([f"{self._path}: cannot be read: {error.strerror}"]) from error


def run_hosted(path: str, *, write_error: Callable[[str], None]) -> int:
    """Serve until the process is signalled to stop; return the exit code.

    Args:
        path: The settings file.
        write_error: Called with one line per error in the settings, before any socket is opened.
    """
    try:
        file = SettingsFile(path)
    except SettingsError as error:
        for fault in error.faults:
            write_error(fault)
        return 1
    adapter = PlatformAdapter(
        settings=file.settings,
        headers=HEADERS,
        operator=operator_topic(),
        make_store=lambda: PlatformStore(lambda: file.settings.addresses.store),
        decode_report=decode_report,
        decode_notice=decode_notice,
        is_readiness_request=is_readiness_request,
        reload=file.reload,
    )
    compose(adapter).run()
    return 0
