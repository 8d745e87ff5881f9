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

    def swap(self, new: ConfigSet, *, replace_equal: bool = False) -> bool:
        """Put ``new`` in force if it is newer than the current set.

        Args:
            new: The new set.
            replace_equal: Whether a set of the same version with other content counts as newer.

        Returns:
            Whether ``new`` was put in force.
        """
        same_version = new.version == self._current.version
        if new.version < self._current.version or (same_version and not replace_equal):
            return False
        if new == self._current:
            return False
        self._current = new
        return True
