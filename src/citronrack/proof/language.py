"""Base classes of events and expectations, and fields that refer to names of the world."""

from __future__ import annotations

from typing import Any

from attrs import field, frozen

from .. import validators
from ..registry import Registry
from .world import World

REFERENCE = "citronrack.reference"
END_OF_RUN = -1.0


def ref(kind: str, *, default: str | None = None) -> Any:
    """Return a field whose value must be a name in the world.

    Args:
        kind: ``node``, ``zone``, ``side``, ``route``, ``service``, ``plan`` or ``fault``.
        default: Value that refers to nothing.
    """
    if default is None:
        return field(metadata={REFERENCE: kind})
    return field(default=default, metadata={REFERENCE: kind})


def number(low: float, high: float, *, default: float) -> Any:
    """Return a field for a number between ``low`` and ``high``."""
    return field(default=default, validator=validators.between(low, high))


@frozen(kw_only=True)
class TimedEvent:
    """Event that happens at ``at`` seconds."""

    at: float = field(validator=validators.between(0, 3_600))

    def apply(self, world: World) -> None:
        """Apply the event to the world."""
        raise NotImplementedError


@frozen(kw_only=True)
class Expectation:
    """Condition that must hold at ``at`` seconds, by default at the end of the run."""

    at: float = END_OF_RUN

    def fault(self, world: World) -> str:
        """Return a description of what does not hold, empty when the condition holds."""
        raise NotImplementedError


EVENT_KINDS: Registry[type[TimedEvent]] = Registry("event")
EXPECTATION_KINDS: Registry[type[Expectation]] = Registry("expectation")
