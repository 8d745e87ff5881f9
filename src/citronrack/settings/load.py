"""Reads settings from a YAML file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ..errors import SettingsError
from ..plain import PlainFormatError, from_plain
from .model import Settings


def load_settings(path: str | Path) -> Settings:
    """Return the checked settings that the file holds.

    Args:
        path: A YAML file.

    Raises:
        SettingsError: One line per fault, each with file, key path and what was expected.
    """
    import yaml  # not installed where a platform writes the settings

    try:
        content = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from error
    except UnicodeDecodeError as error:
        raise SettingsError([f"{path}: is not UTF-8 text: {error.reason}"]) from error
    except yaml.YAMLError as error:
        one_line = " ".join(str(error).split())
        raise SettingsError([f"{path}: is not valid YAML: {one_line}"]) from error
    return parse_settings(content, source=str(path))


def parse_settings(content: Any, *, source: str) -> Settings:
    """Return the checked settings in ``content``, a map as read from YAML.

    Raises:
        SettingsError: One line per fault, each with source, key path and what was expected.
    """
    try:
        return from_plain(content, Settings, name="settings")
    except PlainFormatError as error:
        raise SettingsError([f"{source}: {line}" for line in error.lines]) from error
