"""Limits of the call path."""

from __future__ import annotations

from attrs import frozen

MAX_HEAD_BYTES = 32 * 1024
READ_BYTES = 64 * 1024
WHOLE_BODY_BYTES = 64 * 1024
"""Bodies up to this size are buffered, so that a refused call can go to another target."""

MAX_CALL_S = 30.0
"""Longest deadline of a call; equals the longest drain, so that a drain interrupts no call."""

SWITCH_INTERVAL_S = 0.0005
"""Thread switch interval of the interpreter, which bounds the wait of a call thread for the GIL.

With Python's default of 5 ms, the slowest calls waited for whole intervals.
"""


@frozen
class WireLimits:
    """Limits for connections of callers.

    Attributes:
        idle_s: Longest wait for the next request on a keep-alive connection.
        head_s: Longest time from the first byte of a request to the end of its headers.
        body_idle_s: Longest wait for the next part of a body, and for space to write a response.
        max_head_bytes: Largest request line and headers together.
        connections: Connections served at once.
    """

    idle_s: float = 30.0
    head_s: float = 10.0
    body_idle_s: float = 10.0
    max_head_bytes: int = MAX_HEAD_BYTES
    connections: int = 120
