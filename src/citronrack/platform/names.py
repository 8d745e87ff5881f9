"""Headers, paths, topics and keys of the platform."""

from __future__ import annotations

from ..calls.headers import HeaderNames

HEADERS = HeaderNames(
    timeout=b"deadline-ms",
    request_id=b"attempt-id",
    caller_service=b"caller-service",
    expected_target=b"expected-instance",
    signature=b"instance-signature",
    not_run=b"not-executed",
    target_load=b"instance-load",
    credentials=b"authorization",
    key_scheme=b"Token",
    workspace=b"tenant",
)

LIMIT_HEADER = b"server-limit"
"""Calls a second that a target takes from all nodes together, a decimal number. It is in all
answers of a target while it holds, refusals included."""

LEAVING_HEADER = b"server-leaving"
"""In all answers of a target that is about to end; the value is ``1``."""

ERA_HEADER = b"store-era"
"""In all answers of the store, refusals included: how often it has returned from a copy."""

READINESS = ("GET", "/api/readiness")
REPORT_PREFIX = "/api/Instances.Heartbeat/"
LEAVE_PREFIX = "/api/Instances.Deregister/"

OPERATOR_TOPIC = "keyed.op"
STATUS_TOPIC = "keyed.status"
CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"


def is_readiness_request(method: str, path: str) -> bool:
    """Return whether a request is a readiness probe."""
    return (method, path.partition("?")[0]) == READINESS
