"""What the call path reports about one call."""

from __future__ import annotations

from attrs import frozen

from ..verdict import Verdict


@frozen
class ResponseRecord:
    """What a caller got, and what decided it.

    Attributes:
        request_id: The caller's id of the request.
        route: Name of the route, empty when there was none.
        service: Service that was asked.
        service_version: Its release, or the pool that was asked.
        status: HTTP status.
        verdict: Whether the request may have run.
        seconds: Time from the arrival to the end of the answer.
        targets: Names of the nodes that were asked, in order.
        config_version: Version of the configuration that was used.
        reason: The node's own reason, empty for an answer of a target.
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


@frozen
class CallRecord:
    """Result of one attempt to have a call answered.

    Attributes:
        route: Name of the route.
        service: Service that was called.
        service_version: Release that was called.
        method: HTTP method.
        status: HTTP status of the answer, 0 for none.
        latency_s: Seconds from choosing the target to the end of the answer.
        verdict: Whether the request may have run.
        refused: Whether the target's side refused the call before it ran.
        cold: Whether the target had just started.
        delivered_here: Whether this node handed the call to its own target.
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
