"""Base classes of events and expectations, and references to names of the world."""

from __future__ import annotations

from typing import Any

from attrs import field, frozen

from .. import validators
from ..registry import Registry
from .world import World

REFERENCE = "citronrack.reference"
END_OF_RUN = -1.0


def ref(kind: str, *, default: str | None = None) -> Any:
    """Return a field whose text must name something of the world.

    Args:
        kind: ``node``, ``zone``, ``side``, ``route``, ``service``, ``plan`` or ``fault``.
        default: Text that stands for no name.
    """
    if default is None:
        return field(metadata={REFERENCE: kind})
    return field(default=default, metadata={REFERENCE: kind})


def number(low: float, high: float, *, default: float) -> Any:
    """Return a field for a number from ``low`` to ``high``."""
    return field(default=default, validator=validators.between(low, high))


@frozen(kw_only=True)
class TimedEvent:
    """Something that happens at ``at`` seconds."""

    at: float = field(validator=validators.between(0, 3_600))

    def apply(self, world: World) -> None:
        """Let it happen."""
        raise NotImplementedError


@frozen(kw_only=True)
class Expectation:
    """Something that must hold at ``at`` seconds; without ``at`` at the end of the run."""

    at: float = END_OF_RUN

    def fault(self, world: World) -> str:
        """Return what does not hold, empty when all is well."""
        raise NotImplementedError


EVENT_KINDS: Registry[type[TimedEvent]] = Registry("event")
EXPECTATION_KINDS: Registry[type[Expectation]] = Registry("expectation")
