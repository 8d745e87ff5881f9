"""What travels with a call from node to node and through targets."""

from __future__ import annotations

import hashlib
import hmac
from random import Random

from attrs import frozen

from ..clock import Clock
from .limits import MAX_CALL_S

MAX_DEPTH = 15
DEFAULT_RETRIES = 2
MAC_BYTES = 16
MAX_HEADER_BYTES = 160
MAX_KEY_CHARACTERS = 32
SKEW_TOLERANCE_MS = 250
"""Largest step of the wall clock, between a call and its nested call, that fails no call."""


@frozen
class CallContext:
    """The state of a call on the present node.

    Attributes:
        deadline: Monotonic time of this process at which the caller stops waiting, in seconds.
        retries_left: Retries that this call and everything it causes may still use.
        depth: Number of calls in the chain, 1 for a call from outside.
        call_key: Same for a call and all its nested calls.
    """

    deadline: float
    retries_left: int
    depth: int
    call_key: str

    @property
    def too_deep(self) -> bool:
        """Whether the chain of nested calls is longer than allowed."""
        return self.depth > MAX_DEPTH

    def with_deadline(self, deadline: float) -> CallContext:
        """Return the context with an earlier deadline, if ``deadline`` is earlier."""
        if deadline >= self.deadline:
            return self
        return CallContext(deadline, self.retries_left, self.depth, self.call_key)

    def after_retry(self) -> CallContext:
        """Return the context with one retry less."""
        return CallContext(self.deadline, self.retries_left - 1, self.depth, self.call_key)


class ContextCodec:
    """Writes and reads the context header.

    The header holds the remaining time and the sender's wall time at the deadline. Between nodes
    only the remaining time counts, so the clocks of two instances may differ by any amount. A
    target copies the header into its nested calls some time later; these reach the node that
    wrote it, so there the wall time counts as well.

    Args:
        key: Shared key of the mesh.
        clock: Source of time.
        random: Source of call keys.
    """

    def __init__(self, *, key: bytes, clock: Clock, random: Random) -> None:
        self._mac = hashlib.blake2b(key=key, digest_size=MAC_BYTES, person=b"citronrack-call")
        self._clock = clock
        self._random = random

    def new_context(self) -> CallContext:
        """Return the context of a call from outside."""
        return CallContext(
            deadline=self._clock.monotonic() + MAX_CALL_S,
            retries_left=DEFAULT_RETRIES,
            depth=1,
            call_key=f"{self._random.getrandbits(64):016x}",
        )

    def encode(self, context: CallContext) -> bytes:
        """Return the header's value."""
        remaining_ms = max(0, int((context.deadline - self._clock.monotonic()) * 1000))
        text = (
            f"{remaining_ms}.{self._clock.wall_ms() + remaining_ms}"
            f".{context.retries_left}.{context.depth}.{context.call_key}"
        ).encode()
        return text + b"." + self._digest(text)

    def decode(self, value: bytes | None) -> CallContext | None:
        """Return the context that another node sent, None without a valid one."""
        fields = self._verified(value)
        if fields is None:
            return None
        remaining_ms, _, retries, depth, call_key = fields
        return self._make(int(remaining_ms), int(retries), int(depth), call_key)

    def decode_nested(self, value: bytes | None) -> CallContext | None:
        """Return the context of a call that a target made while it ran another call."""
        fields = self._verified(value)
        if fields is None:
            return None
        remaining_ms, deadline_ms, retries, depth, call_key = fields
        by_wall_ms = int(deadline_ms) - self._clock.wall_ms() + SKEW_TOLERANCE_MS
        return self._make(
            min(int(remaining_ms), by_wall_ms), int(retries), int(depth) + 1, call_key
        )

    def _make(self, remaining_ms: int, retries: int, depth: int, call_key: str) -> CallContext:
        remaining_s = min(remaining_ms / 1000, MAX_CALL_S)
        return CallContext(
            deadline=self._clock.monotonic() + remaining_s,
            retries_left=min(retries, DEFAULT_RETRIES),
            depth=depth,
            call_key=call_key,
        )

    def _digest(self, text: bytes) -> bytes:
        mac = self._mac.copy()
        mac.update(text)
        return mac.hexdigest().encode()

    def _verified(self, value: bytes | None) -> list[str] | None:
        if value is None or len(value) > MAX_HEADER_BYTES:
            return None
        text, _, digest = value.rpartition(b".")
        if not hmac.compare_digest(digest, self._digest(text)):
            return None
        fields = text.decode("latin-1").split(".")
        return fields if len(fields) == 5 else None
