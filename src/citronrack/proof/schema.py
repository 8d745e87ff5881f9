"""Schema of a scenario file, except for events and expectations, which have registries."""

from __future__ import annotations

from typing import Any

import attrs
from attrs import Attribute, field, frozen

from .. import validators


def _each(_: Any, attribute: Attribute[Any], value: Any) -> None:
    """Validate each element of a sequence."""
    for entry in value:
        attrs.validate(entry)


@frozen
class LinkSpec:
    """Links between zones.

    Attributes:
        delay_ms: One-way delay in milliseconds, -1 for the delay of the deployment.
        jitter_ms: Maximum additional delay of a packet; can reorder messages.
        loss: Share of messages that are lost, 0 to 1.
        encoded: Whether messages are encoded and decoded by the codec of the transport, which is
            slower.
    """

    delay_ms: float = field(default=-1.0, validator=validators.between(-1, 10_000))
    jitter_ms: float = field(default=1.0, validator=validators.between(0, 10_000))
    loss: float = field(default=0.0, validator=validators.between(0, 1))
    encoded: bool = False


@frozen
class LogSpec:
    """The platform's log service.

    Attributes:
        delay_ms: Time for each response in milliseconds.
        retention: Number of records that each stream retains.
    """

    delay_ms: float = field(default=3.0, validator=validators.between(0, 60_000))
    retention: int = field(default=100_000, validator=validators.between(1, 10_000_000))


@frozen
class LoadSpec:
    """Load from callers.

    Attributes:
        calls_per_s: Mean number of calls per second over all zones.
    """

    calls_per_s: float = field(default=20.0, validator=validators.between(0, 2_000))


@frozen
class TargetSpec:
    """Targets in addition to those of the deployment.

    Attributes:
        service: Name of the service.
        service_version: Service version of the targets.
        count: Number of targets, distributed over the zones.
    """

    service: str = field(validator=validators.name)
    service_version: str = field(validator=validators.name)
    count: int = field(default=2, validator=validators.between(1, 100))


@frozen
class WorldSpec:
    """Initial state of a scenario.

    Attributes:
        deployment: ``spoorhout`` or ``harbor-lantern``.
        targets: Additional targets, such as those of a new service version.
        links: Links between zones.
        log: The platform's log service.
        load: Load from callers.
        clock_skew_ms: Maximum offset of a node's wall clock in milliseconds.
        start_spread_s: Interval in seconds in which the nodes start.
    """

    deployment: str
    targets: tuple[TargetSpec, ...] = field(default=(), validator=_each)
    links: LinkSpec = field(factory=LinkSpec)
    log: LogSpec = field(factory=LogSpec)
    load: LoadSpec = field(factory=LoadSpec)
    clock_skew_ms: int = field(default=100, validator=validators.between(0, 60_000))
    start_spread_s: float = field(default=1.0, validator=validators.between(0, 60))


@frozen
class ScenarioHead:
    """A scenario file.

    Attributes:
        name: Short name.
        about: Failure that the scenario guards against.
        seconds: Simulated duration in seconds.
        world: Initial state.
        events: Events, each with ``at`` in seconds and ``do``.
        expect: Expectations, each with ``at`` in seconds and ``that``.
        needs: Parts of the system that the scenario requires.
    """

    name: str = field(validator=validators.name)
    about: str
    seconds: float = field(validator=validators.between(1, 3_600))
    world: WorldSpec
    events: tuple[dict[str, Any], ...] = ()
    expect: tuple[dict[str, Any], ...] = ()
    needs: tuple[str, ...] = ()
