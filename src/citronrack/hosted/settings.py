"""The settings of a node on a platform."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import optional

from .. import validators
from ..calls.pacer import COLD_BURST_S
from .readers import CONFIG_APPLY_S

COLD_OVERSHOOT = 1.5
"""Calls that a cold target may get in any second if the platform states no bound, as a multiple of
the rate that it tolerates."""


@frozen
class HostedAddresses:
    """Addresses of a node, each ``ip:port``.

    Attributes:
        calls: For callers on the instance and its target.
        deliveries: For calls that other nodes forward.
        peers: For messages of other nodes.
        control: For status reports of the target.
        ready: For readiness probes of the platform.
        metrics: For scrapes of the metrics.
        target: Address of the target's HTTP server.
        store: Address of the platform's store.
    """

    calls: str = field(validator=validators.address)
    deliveries: str = field(validator=validators.address)
    peers: str = field(validator=validators.address)
    control: str = field(validator=validators.address)
    ready: str = field(validator=validators.address)
    metrics: str = field(validator=validators.address)
    target: str = field(validator=validators.address)
    store: str = field(validator=validators.address)


@frozen
class HostedBounds:
    """Limits that the platform's contract states.

    Attributes:
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        config_apply_s: Time within which a confirmed configuration must be active, in seconds.
        report_interval_s: Usual time between status reports of a target, in seconds.
        retry_ratio: Allowed retries of all nodes together, as a fraction of the calls.
        retry_slack: Retries of all nodes together that are allowed beyond that fraction.
        allotment_slack: Requests of a workspace in a window that are tolerated beyond its limit.
        cold_overshoot: Calls that a cold target may get in any second, as a multiple of the rate
            that it tolerates.
        evacuation_s: Time within which an evacuation must be in force, in seconds; None if the
            platform states none.
        revoke_s: Time within which a withdrawn key is out of use at a node that is cut off, if
            `revoke_fail_closed` is set, in seconds.
        revoke_fail_closed: Whether a node without a confirmation of its configuration accepts no
            key after that time.
    """

    grace_s: float = field(default=6.0, validator=validators.between(0.5, 600))
    config_apply_s: float = field(default=CONFIG_APPLY_S, validator=validators.between(0.5, 600))
    report_interval_s: float = field(default=1.5, validator=validators.between(0.01, 60))
    retry_ratio: float = field(default=0.2, validator=validators.between(0, 1))
    retry_slack: float = field(default=60.0, validator=validators.between(0, 1e6))
    allotment_slack: float = field(default=0.0, validator=validators.between(0, 1e6))
    cold_overshoot: float = field(default=COLD_OVERSHOOT, validator=validators.between(1, 1e6))
    evacuation_s: float | None = field(
        default=None, validator=optional(validators.between(0.5, 600))
    )
    revoke_s: float = field(default=5.0, validator=validators.between(0.1, 600))
    revoke_fail_closed: bool = False

    @property
    def operator_apply_s(self) -> float:
        """Time within which each record of the operator must be in force, in seconds."""
        return min(self.config_apply_s, self.evacuation_s or self.config_apply_s)

    @property
    def cold_burst_s(self) -> float:
        """Time for which an unused rate of a cold target is kept, in seconds.

        It is half of what may be exceeded; the rest covers calls that arrive in clumps.
        """
        return min(COLD_BURST_S, (self.cold_overshoot - 1.0) / 2)

    @property
    def unconfirmed_s(self) -> float | None:
        """Longest time without a confirmation in which keys are accepted, None for no limit."""
        return self.revoke_s if self.revoke_fail_closed else None


@frozen
class HostedSettings:
    """All settings of a node on a platform.

    Attributes:
        name: Unique name of the node.
        availability_zone: Zone of the instance.
        service: Service of the target.
        addresses: Addresses of the node's listeners, its target and the store.
        bounds: Limits of the platform's contract.
        metrics_path: Path at which the metrics are served.
        link_mbps: Bandwidth of the instance's link, in Mbit/s, 0 when it is unknown.
        link_one_way_ms: One-way latency of a link to another zone, in milliseconds.
        connections: Connections that each listener serves concurrently.
        seeds: ``ip:port`` of other nodes for messages; they may be stale or down.
    """

    name: str = field(validator=validators.name)
    availability_zone: str = field(validator=validators.name)
    service: str = field(validator=validators.name)
    addresses: HostedAddresses
    bounds: HostedBounds = field(factory=HostedBounds)
    metrics_path: str = "/metrics"
    link_mbps: int = field(default=0, validator=validators.between(0, 1_000_000))
    link_one_way_ms: float = field(default=4.0, validator=validators.between(0, 1_000))
    connections: int = field(default=300, validator=validators.between(1, 10_000))
    seeds: tuple[str, ...] = ()
