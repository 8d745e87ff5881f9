"""The settings of a node."""

from __future__ import annotations

from attrs import field, frozen

from .. import validators


@frozen
class NodeSettings:
    """Identity and addresses of the node.

    Attributes:
        name: Unique name of the node.
        availability_zone: Zone in which the instance stands.
        peer_address: ``ip:port`` for messages of other nodes.
        call_address: ``ip:port`` for calls of callers and of the own target.
        deliver_address: ``ip:port`` for calls that other nodes pass on.
    """

    name: str = field(validator=validators.name)
    availability_zone: str = field(validator=validators.name)
    peer_address: str = field(validator=validators.address)
    call_address: str = field(validator=validators.address)
    deliver_address: str = field(validator=validators.address)


@frozen
class TargetSettings:
    """The target beside the node.

    Attributes:
        address: ``ip:port`` of the target's HTTP server.
        service: Service that it belongs to.
        service_version: Its release.
        slots: Calls that it runs at once.
        connections: Connections that it accepts.
    """

    address: str = field(validator=validators.address)
    service: str = field(validator=validators.name)
    service_version: str = field(validator=validators.name)
    slots: int = field(default=6, validator=validators.between(1, 1_000))
    connections: int = field(default=120, validator=validators.between(1, 10_000))


@frozen
class MeshSettings:
    """How nodes meet each other.

    Attributes:
        mesh_id: Name of the mesh; frames of other meshes are dropped.
        key: Shared key as hexadecimal digits, 16 to 64 bytes.
        seeds: ``ip:port`` of nodes in the own zone.
        remote_seeds: ``ip:port`` of nodes by other zone.
    """

    mesh_id: str = field(validator=validators.name)
    key: str = field(validator=validators.hex_key, repr=False)
    seeds: tuple[str, ...] = field(default=(), validator=validators.addresses)
    remote_seeds: dict[str, tuple[str, ...]] = field(
        factory=dict, validator=validators.addresses_by_name
    )


@frozen
class LogServiceSettings:
    """The platform's log service.

    Attributes:
        url: Base address, ``http://ip:port``.
    """

    url: str = field(validator=validators.url)


@frozen
class ApiSettings:
    """The intent API.

    Attributes:
        address: ``ip:port`` to listen on.
        token: Bearer token of operators, at least 16 characters.
        requests_per_second: Largest mean rate of requests.
    """

    address: str = field(validator=validators.address)
    token: str = field(validator=validators.token, repr=False)
    requests_per_second: float = field(default=20.0, validator=validators.between(0.1, 10_000))


@frozen
class CallSettings:
    """Limits of the call path.

    Attributes:
        connections: Connections from callers at once.
        drain_limit_s: Longest time that a graceful stop waits for calls in flight.
        link_one_way_ms: Delay of a link to another zone.
        balancer: Name of the policy that chooses a target.
    """

    connections: int = field(default=120, validator=validators.between(1, 10_000))
    drain_limit_s: float = field(default=30.0, validator=validators.between(0, 600))
    link_one_way_ms: float = field(default=4.0, validator=validators.between(0, 1_000))
    balancer: str = "adaptive"


@frozen
class TelemetrySettings:
    """Logs and metrics.

    Attributes:
        level: Lowest level that is written: debug, info, warning or error.
        statsd: ``ip:port`` of a statsd server, empty for none.
        trace: File in which to record the core's inputs for a replay, empty for none.
        trace_limit_mb: Largest size of that file.
    """

    level: str = field(
        default="info", validator=validators.one_of("debug", "info", "warning", "error")
    )
    statsd: str = field(default="", validator=validators.optional_address)
    trace: str = ""
    trace_limit_mb: int = field(default=64, validator=validators.between(1, 10_000))


@frozen
class Settings:
    """All settings of a node.

    Attributes:
        profile: Name of the policy with which moves are judged by default.
    """

    node: NodeSettings
    target: TargetSettings
    mesh: MeshSettings
    log_service: LogServiceSettings
    api: ApiSettings
    calls: CallSettings = CallSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    profile: str = "spoorhout"
