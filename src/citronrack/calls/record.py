"""Records that the call path reports for each call."""

from __future__ import annotations

from attrs import frozen

from ..verdict import Verdict


@frozen
class ResponseRecord:
    """Response of a routed call and how it was routed.

    Attributes:
        request_id: The caller's id of the request.
        route: Name of the route, empty when there was none.
        service: Service that was called.
        service_version: Service version that was called, or the name of the pool.
        status: HTTP status.
        verdict: Whether the request may have run.
        seconds: Time from the arrival to the end of the response.
        targets: Names of the nodes that were tried, in order.
        config_version: Version of the configuration that was used.
        reason: The node's reason, empty for a response of a target.
        workspace: Name of the caller's workspace, empty for none.
    """

    request_id: str
    route: str
    service: str
    service_version: str
    status: int
    verdict: Verdict
    seconds: float
    targets: tuple[str, ...]
    config_version: int
    reason: str = ""
    workspace: str = ""


@frozen
class CallRecord:
    """Result of one attempt of a call.

    Attributes:
        route: Name of the route.
        service: Service that was called.
        service_version: Service version that was called, or the name of the pool.
        method: HTTP method.
        status: HTTP status of the response, 0 for none.
        latency_s: Time from choosing the target to the end of the response, in seconds.
        verdict: Whether the request may have run.
        refused: Whether a node, or the target itself, refused the call before it ran.
        cold: Whether the target was in its slow start.
        delivered_here: Whether this node delivered the call to its local target.
    """

    route: str
    service: str
    service_version: str
    method: str
    status: int
    latency_s: float
    verdict: Verdict
    refused: bool = False
    cold: bool = False
    delivered_here: bool = False
