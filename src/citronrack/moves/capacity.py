"""What is known about the targets of a service version."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen
class Capacity:
    """Targets of one service version that can be reached.

    Attributes:
        targets: Number of live targets.
        slots: Calls that they run at once, together.
        load: Calls in flight or waiting at them, as last reported.
        calls_per_second: Calls that they get, 0 when unknown.
    """

    targets: int
    slots: int = 0
    load: int = 0
    calls_per_second: float = 0.0


CapacityView = Callable[[str, str], Capacity | None]
"""Returns the capacity of ``(service, service version)``, None when nothing is known."""


def unknown_capacity(service: str, service_version: str) -> Capacity | None:
    """Return None; used where no membership is at hand."""
    return None
