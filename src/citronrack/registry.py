"""Registries of named implementations, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """A map from name to implementation.

    Args:
        kind: Kind of the entries, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``.

        Raises:
            ValueError: When the name is already registered.
        """

        def decorator(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorator

    def get(self, name: str) -> T:
        """Return the entry registered under ``name``.

        Raises:
            LookupError: When there is none; the message lists the registered names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries))
            raise LookupError(f"unknown {self._kind} {name!r}; known: {known}") from None

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))
