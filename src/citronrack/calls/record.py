"""What the call path reports about one call."""

from __future__ import annotations

from attrs import frozen

from ..verdict import Verdict


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
