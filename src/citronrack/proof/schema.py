"""The fixed part of a scenario file; events and expectations have registries of their own."""

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
        delay_ms: One-way delay in milliseconds, -1 for that of the deployment.
        jitter_ms: Largest extra delay of a packet; reorders messages.
        loss: Part of the messages that is lost, 0 to 1.
        encoded: Whether messages pass through the codec of the transport; slower.
    """

    delay_ms: float = field(default=-1.0, validator=validators.between(-1, 10_000))
    jitter_ms: float = field(default=1.0, validator=validators.between(0, 10_000))
    loss: float = field(default=0.0, validator=validators.between(0, 1))
    encoded: bool = False


@frozen
class LogSpec:
    """The platform's log service.

    Attributes:
        delay_ms: Time that it takes for an answer.
        retention: Number of records that each stream keeps.
    """

    delay_ms: float = field(default=3.0, validator=validators.between(0, 60_000))
    retention: int = field(default=100_000, validator=validators.between(1, 10_000_000))


@frozen
class LoadSpec:
    """Calls of callers.

    Attributes:
        calls_per_s: Mean number of calls a second over all zones.
    """

    calls_per_s: float = field(default=20.0, validator=validators.between(0, 2_000))


@frozen
class TargetSpec:
    """Targets beside those of the deployment.

    Attributes:
        service: Name of the service.
        service_version: Release that they run.
        count: Number of targets, spread over the zones.
    """

    service: str = field(validator=validators.name)
    service_version: str = field(validator=validators.name)
    count: int = field(default=2, validator=validators.between(1, 100))


@frozen
class WorldSpec:
    """What a scenario starts with.

    Attributes:
        deployment: ``spoorhout`` or ``harbor-lantern``.
        targets: Further targets, such as those of a new service version.
        links: Links between zones.
        log: The platform's log service.
        load: Calls of callers.
        clock_skew_ms: Largest error of a node's wall clock.
        start_spread_s: Nodes start within this many seconds.
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
        about: Which failure the scenario guards against.
        seconds: Simulated duration.
        world: What it starts with.
        events: What happens, each with ``at`` in seconds and ``do``.
        expect: What must hold, each with ``at`` in seconds and ``that``.
        needs: Parts of the system that it cannot run without.
    """

    name: str = field(validator=validators.name)
    about: str
    seconds: float = field(validator=validators.between(1, 3_600))
    world: WorldSpec
    events: tuple[dict[str, Any], ...] = ()
    expect: tuple[dict[str, Any], ...] = ()
    needs: tuple[str, ...] = ()
