"""The configuration in force on this node."""

from __future__ import annotations

from .model import ConfigSet


class ActiveConfig:
    """Holds the current configuration set and replaces it by a single reference assignment.

    Call threads read `current` without a lock; only the control task calls `swap`.
    """

    def __init__(self) -> None:
        self._current = ConfigSet()

    @property
    def current(self) -> ConfigSet:
        """The set in force; immutable."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the set in force, -1 before the first one."""
        return self._current.version

    def swap(self, new: ConfigSet) -> bool:
        """Put ``new`` in force if it is newer than the current set.

        Returns:
            Whether ``new`` was put in force.
        """
        if new.version <= self._current.version:
            return False
        self._current = new
        return True
