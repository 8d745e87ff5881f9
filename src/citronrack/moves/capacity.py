"""Capacity of the targets of a service version."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen
class Capacity:
    """Capacity of the reachable targets of one service version.

    Attributes:
        targets: Number of live targets.
        slots: Number of calls that all of them together run concurrently.
        load: Calls in flight or queued at them, as last reported.
        calls_per_second: Rate of calls that they receive, 0 when unknown.
    """

    targets: int
    slots: int = 0
    load: int = 0
    calls_per_second: float = 0.0


CapacityView = Callable[[str, str], Capacity | None]
"""Returns the capacity of ``(service, service version)``, None when nothing is known."""


def unknown_capacity(service: str, service_version: str) -> Capacity | None:
    """Return None; used where no membership information is available."""
    return None
