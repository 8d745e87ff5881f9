"""Requests and answers between the parts of the call path."""

from __future__ import annotations

import socket
from collections.abc import Callable, Generator, Iterable, Iterator
from enum import Enum, auto
from typing import Protocol

from attrs import define, field

from ..errors import CallFailed
from ..verdict import Verdict
from ._sockets import has_input
from .headers import RETRY_AFTER, Headers

RETRY_AFTER_S = b"0.3"
"""Seconds after which a refused caller may come back: about the time in which a full queue of
short calls is worked off, and short against the time that callers have left."""


class Body(Protocol):
    """The body of a request."""

    @property
    def whole(self) -> bytes | None:
        """All bytes, None when they are streamed."""

    @property
    def length(self) -> int | None:
        """Number of bytes, None when it is not known in advance."""

    @property
    def replayable(self) -> bool:
        """Whether the request can still be sent from its first byte."""

    def wait_first_part(self, limit_s: float) -> bool:
        """Ask for the body and wait for its first part; False when none came within the limit.

        Raises:
            BodyReadError: When the sender stopped.
        """

    def wait_readable(self, other: socket.socket, limit_s: float) -> bool:
        """Wait until a part may be read; False when ``other`` has input before that."""

    def chunks(self) -> Iterator[bytes]:
        """Yield the parts; may be called once.

        Raises:
            BodyReadError: When the sender stopped before the end.
        """


class CallerDisconnected(CallFailed):
    """The caller closed its connection or stopped in the middle of its body."""


class DeadlineExceeded(CallFailed):
    """No complete answer arrived before the deadline."""


class BodyEnd(Enum):
    """How the body of an answer ended."""

    COMPLETE = auto()
    BROKEN = auto()
    ABANDONED = auto()


class BodyReadError(Exception):
    """The sender of a streamed body stopped, was too slow or sent bad framing."""


@define(eq=False)
class WholeBody:
    """A body that is held in memory and can be sent again."""

    whole: bytes = b""

    @property
    def length(self) -> int:
        """Number of bytes."""
        return len(self.whole)

    @property
    def replayable(self) -> bool:
        """Always true: the bytes are kept."""
        return True

    def wait_first_part(self, limit_s: float) -> bool:
        """Return true: the bytes are here."""
        return True

    def wait_readable(self, other: socket.socket, limit_s: float) -> bool:
        """Return whether ``other`` has no input."""
        return not has_input(other)

    def chunks(self) -> Iterator[bytes]:
        """Yield the bytes."""
        yield self.whole


class IterableBody:
    """A streamed body of a caller that embeds `Router`.

    Args:
        parts: The bytes, read once and never kept.
        length: Number of bytes, None to send the body in chunks.
    """

    whole = None

    def __init__(self, parts: Iterable[bytes], *, length: int | None = None) -> None:
        self.length = length
        self.replayable = True
        self._parts = parts

    def wait_first_part(self, limit_s: float) -> bool:
        """Return true; the caller's own source is not waited for."""
        return True

    def wait_readable(self, other: socket.socket, limit_s: float) -> bool:
        """Return whether ``other`` has no input; the caller's own source is not waited for."""
        return not has_input(other)

    def chunks(self) -> Iterator[bytes]:
        """Yield the parts."""
        self.replayable = False
        yield from self._parts


def _never() -> bool:
    return False


@define(eq=False)
class Request:
    """A request of a caller.

    Attributes:
        method: Method in upper case.
        target: Path and query as sent.
        headers: End-to-end headers with lower-case names.
        body: The body.
        context: Value of the context header, not yet verified.
        service: Service that another node wants, empty when it was not said.
        host: Value of the Host header without a port, in lower case.
        request_id: The caller's id of the request, empty for none.
        timeout_ms: The caller's own limit for the call, None for none.
        cancelled: Returns whether the caller has gone away; called a few times a second.
    """

    method: str
    target: bytes
    headers: Headers = field(factory=list)
    body: Body = field(factory=WholeBody)
    context: bytes | None = None
    service: str = ""
    host: str = ""
    request_id: str = ""
    timeout_ms: int | None = None
    cancelled: Callable[[], bool] = _never

    @property
    def path(self) -> str:
        """The target as text, for matching routes."""
        return self.target.decode("latin-1")


@define(eq=False)
class Response:
    """An answer, whole or streamed.

    Whoever gets an answer calls `read`, reads `parts` to the end or calls `finish`; until then the
    exchange holds its connection and its slot. The server does so after it has written the answer,
    so that no caller waits for bookkeeping.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers with lower-case names.
        verdict: Whether the request may have run.
        whole: All bytes of the body, None when it is streamed.
        stream: The body in parts; raises `CallFailed` when it ends too early.
        length: Number of bytes, None when it is not known in advance.
        reason: Reason phrase.
        load: Calls in flight or waiting at the target's node, None when it did not say.
        from_node: Whether a node made this answer, not the target.
        arrived: Whether the request reached the target, which may have refused it.
    """

    status: int
    headers: Headers = field(factory=list)
    verdict: Verdict = Verdict.RAN
    whole: bytes | None = b""
    stream: Iterator[bytes] | None = None
    length: int | None = 0
    reason: bytes = b""
    load: int | None = None
    from_node: bool = False
    reached_target: bool = True
    _callbacks: list[Callable[[BodyEnd], None]] = field(factory=list, init=False)
    _ended: bool = field(default=False, init=False)

    @property
    def local_reason(self) -> str:
        """What the node itself gave as the reason, empty for an answer of a target."""
        return (self.whole or b"").decode().strip() if self.from_node else ""

    @property
    def refused(self) -> bool:
        """Whether a node refused the call before it ran."""
        return self.from_node and self.verdict is Verdict.NOT_RUN

    def add_done_callback(self, callback: Callable[[BodyEnd], None]) -> None:
        """Call ``callback(end)`` once, when the body was handed on or given up."""
        self._callbacks.append(callback)

    def parts(self) -> Iterator[bytes]:
        """Yield the body and finish the exchange."""
        end = BodyEnd.ABANDONED
        try:
            if self.stream is None:
                yield self.whole or b""
            else:
                yield from self.stream
            end = BodyEnd.COMPLETE
        except CallFailed:
            end = BodyEnd.BROKEN
            raise
        finally:
            self.finish(end)

    def read(self) -> bytes:
        """Return the whole body.

        Raises:
            CallFailed: When the answer was cut short.
        """
        return b"".join(self.parts())

    def finish(self, end: BodyEnd = BodyEnd.ABANDONED) -> None:
        """Release everything that the exchange holds."""
        if self._ended:
            return
        self._ended = True
        if self.stream is None:
            end = BodyEnd.COMPLETE  # The whole answer had arrived.
        elif isinstance(self.stream, Generator):
            self.stream.close()
        for callback in self._callbacks:
            callback(end)


def local_response(
    status: int, reason: str, verdict: Verdict, *, load: int | None = None
) -> Response:
    """Return an answer that this node makes itself.

    Args:
        status: HTTP status.
        reason: One line that says what happened.
        verdict: Whether the request may have run.
        load: Calls in flight or waiting here.
    """
    body = reason.encode() + b"\n"
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if status == 503:
        headers.append((RETRY_AFTER, RETRY_AFTER_S))
    return Response(
        status=status,
        headers=headers,
        verdict=verdict,
        whole=body,
        length=len(body),
        load=load,
        from_node=True,
        reached_target=verdict is not Verdict.NOT_RUN,
    )


def local_page(content_type: bytes, body: bytes) -> Response:
    """Return a successful answer that this node makes itself."""
    headers = [(b"content-type", content_type)]
    return Response(200, headers=headers, whole=body, length=len(body), from_node=True)


_FAILURE_STATUS = {
    (Verdict.NOT_RUN, False): 503,
    (Verdict.NOT_RUN, True): 503,
    (Verdict.MAY_HAVE_RUN, False): 502,
    (Verdict.MAY_HAVE_RUN, True): 504,
}


def failure_response(error: CallFailed, *, load: int | None = None) -> Response:
    """Return the answer to a call that got none; only 503 states that it was not run."""
    status = _FAILURE_STATUS[error.verdict, isinstance(error, DeadlineExceeded)]
    return local_response(status, str(error), error.verdict, load=load)
