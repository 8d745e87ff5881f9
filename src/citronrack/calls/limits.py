"""Limits of the call path."""

from __future__ import annotations

from attrs import frozen

MAX_HEAD_BYTES = 32 * 1024
READ_BYTES = 64 * 1024
WHOLE_BODY_BYTES = 64 * 1024
"""Bodies up to this size are held, so that a refused call can go to another target."""

MAX_CALL_S = 30.0
"""Longest deadline of a call; equals the longest drain, so that drain cuts off no call."""

SWITCH_INTERVAL_S = 0.0005
"""Longest time that another task keeps a call thread waiting for the interpreter lock.

With Python's default of 5 ms, the slowest calls waited for whole intervals.
"""


@frozen
class WireLimits:
    """Limits for connections of callers.

    Attributes:
        idle_s: Longest wait for the next request on a kept connection.
        head_s: Longest time from the first byte of a request to the end of its headers.
        body_idle_s: Longest wait for the next part of a body, and for room to write an answer.
        max_head_bytes: Largest request line and headers together.
        connections: Connections served at once.
    """

    idle_s: float = 30.0
    head_s: float = 10.0
    body_idle_s: float = 10.0
    max_head_bytes: int = MAX_HEAD_BYTES
    connections: int = 120
