"""Requests and responses of the call path."""

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

RETRY_AFTER_S = 0.3
"""Retry-After of a refusal whose caller's deadline is unknown, in seconds."""

RETRY_AFTER_SHARE = 0.25
"""Retry-After as a share of the time that the caller has left. Callers on the platform wait for up
to a third of it."""

RETRY_AFTER_AIM_SHARE = 0.5
"""Retry-After as a share of the time until the answer is late."""

RETRY_AFTER_SPREAD = 0.25
"""Largest relative deviation of Retry-After from its mean."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest Retry-After, in seconds."""


class Body(Protocol):
    """The body of a request."""

    @property
    def whole(self) -> bytes | None:
        """The complete body, None when it is streamed."""

    @property
    def length(self) -> int | None:
        """Number of bytes, None when it is not known in advance."""

    @property
    def replayable(self) -> bool:
        """Whether the body can still be sent from its first byte."""

    def wait_first_part(self, limit_s: float) -> bool:
        """Request the body and wait for its first part; return False when none came in time.

        Raises:
            BodyReadError: When the sender stopped.
        """

    def wait_readable(self, other: socket.socket, limit_s: float) -> bool:
        """Wait until a part can be read; return False when ``other`` has input before that."""

    def chunks(self) -> Iterator[bytes]:
        """Yield the parts; can be called only once.

        Raises:
            BodyReadError: When the sender stopped before the end.
        """


class CallerDisconnected(CallFailed):
    """The caller closed its connection or sent an incomplete body."""


class DeadlineExceeded(CallFailed):
    """No complete response arrived before the deadline."""


class BodyEnd(Enum):
    """How the body of a response ended."""

    COMPLETE = auto()
    BROKEN = auto()
    ABANDONED = auto()


class BodyReadError(Exception):
    """The sender of a streamed body stopped, was too slow or sent invalid framing."""


@define(eq=False)
class WholeBody:
    """A body in memory, which can be sent again."""

    whole: bytes = b""

    @property
    def length(self) -> int:
        """Number of bytes."""
        return len(self.whole)

    @property
    def replayable(self) -> bool:
        """Always true."""
        return True

    def wait_first_part(self, limit_s: float) -> bool:
        """Return true; the body is in memory."""
        return True

    def wait_readable(self, other: socket.socket, limit_s: float) -> bool:
        """Return whether ``other`` has no input."""
        return not has_input(other)

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as one part."""
        yield self.whole


class IterableBody:
    """A streamed body of a caller that embeds `Router`.

    Args:
        parts: Parts of the body; iterated once and not retained.
        length: Number of bytes, None to send the body with chunked coding.
    """

    whole = None

    def __init__(self, parts: Iterable[bytes], *, length: int | None = None) -> None:
        self.length = length
        self.replayable = True
        self._parts = parts

    def wait_first_part(self, limit_s: float) -> bool:
        """Return true; there is no wait for the caller's iterable."""
        return True

    def wait_readable(self, other: socket.socket, limit_s: float) -> bool:
        """Return whether ``other`` has no input; there is no wait for the caller's iterable."""
        return not has_input(other)

    def chunks(self) -> Iterator[bytes]:
        """Yield the parts."""
        self.replayable = False
        yield from self._parts


def _never() -> bool:
    return False


def names_of(headers: Headers) -> str:
    """Return the names of headers for a dump; a value may be a key."""
    return repr([name for name, _ in headers])


@define(eq=False)
class Request:
    """A request of a caller.

    Attributes:
        method: Method in upper case.
        target: Path and query as sent.
        headers: End-to-end headers with lower-case names.
        body: The body.
        context: Value of the context header, not yet verified.
        service: Service that another node calls, empty when it was not given.
        host: Value of the Host header without a port, in lower case.
        request_id: The caller's id of the request, empty for none.
        timeout_ms: The caller's timeout for the call, None for none.
        cancelled: Returns whether the caller has disconnected; called a few times a second.
        aim_ms: Time left until the answer is late, as the asking node states it, None if unknown.
        suspect: Whether a target has ended under the request, as the asking node states it.
        credentials: All values of the header with the key, as the caller sent them.
        workspace: Name of the workspace of the caller, empty for none or before it is known.
    """

    method: str
    target: bytes
    headers: Headers = field(factory=list, repr=names_of)
    body: Body = field(factory=WholeBody)
    context: bytes | None = None
    service: str = ""
    host: str = ""
    request_id: str = ""
    timeout_ms: int | None = None
    cancelled: Callable[[], bool] = _never
    aim_ms: int | None = None
    suspect: bool = False
    credentials: tuple[bytes, ...] = field(default=(), repr=False)
    workspace: str = ""

    @property
    def path(self) -> str:
        """The target as text, for matching routes."""
        return self.target.decode("latin-1")


@define(eq=False)
class Response:
    """A response with a complete or a streamed body.

    The receiver must call `read`, iterate over `parts` to the end or call `finish`; until then, the
    call holds its connection and its slot. The server does so after it has written the response, so
    that the caller does not wait for the callbacks.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers with lower-case names.
        verdict: Whether the request may have run.
        whole: The complete body, None when it is streamed.
        stream: The body in parts; raises `CallFailed` when it is truncated.
        length: Number of bytes, None when it is not known in advance.
        reason: Reason phrase.
        load: Calls in flight or waiting at the target's node, None when it was not reported.
        pause_s: Time until the pace of a target with a limit lets a further call start, in seconds;
            None when the target has no limit.
        from_node: Whether a node made this response, not the target.
        reached_target: Whether the request reached the target, which may have refused it.
        target_ended: Whether the process of the target has ended with the request in hand.
        evacuated: Whether the node refused because the zone of its target is evacuated.
    """

    status: int
    headers: Headers = field(factory=list)
    verdict: Verdict = Verdict.RAN
    whole: bytes | None = b""
    stream: Iterator[bytes] | None = None
    length: int | None = 0
    reason: bytes = b""
    load: int | None = None
    pause_s: float | None = None
    from_node: bool = False
    reached_target: bool = True
    target_ended: bool = False
    evacuated: bool = False
    _callbacks: list[Callable[[BodyEnd], None]] = field(factory=list, init=False)
    _ended: bool = field(default=False, init=False)

    @property
    def local_reason(self) -> str:
        """The node's reason, empty for a response of a target."""
        return (self.whole or b"").decode().strip() if self.from_node else ""

    @property
    def refused(self) -> bool:
        """Whether a node refused the call before it ran."""
        return self.from_node and self.verdict is Verdict.NOT_RUN

    def add_done_callback(self, callback: Callable[[BodyEnd], None]) -> None:
        """Call ``callback(end)`` once, when the body was passed on or abandoned."""
        self._callbacks.append(callback)

    def parts(self) -> Iterator[bytes]:
        """Yield the body, then call `finish`."""
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
        """Return the complete body.

        Raises:
            CallFailed: When the response was truncated.
        """
        return b"".join(self.parts())

    def finish(self, end: BodyEnd = BodyEnd.ABANDONED) -> None:
        """Release the connection and the slot of the call; repeated calls do nothing."""
        if self._ended:
            return
        self._ended = True
        if self.stream is None:
            end = BodyEnd.COMPLETE  # The body had arrived completely.
        elif isinstance(self.stream, Generator):
            self.stream.close()
        for callback in self._callbacks:
            callback(end)


def local_response(
    status: int, reason: str, verdict: Verdict, *, load: int | None = None
) -> Response:
    """Return a response made by this node.

    Args:
        status: HTTP status.
        reason: One line of text, sent as the body.
        verdict: Whether the request may have run.
        load: Calls in flight or waiting at this node.
    """
    body = reason.encode() + b"\n"
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if status == 503:
        headers.append((RETRY_AFTER, b"%.2f" % RETRY_AFTER_S))
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


def set_retry_after(
    response: Response, *, aim_left_s: float, left_s: float, spread: float, pause_s: float = 0.0
) -> None:
    """Tell a refused caller when to come back.

    If the caller can still be served in time, it comes back in the middle of that time; a target
    that sheds at random or a short queue may take it then. Otherwise it comes back after a share of
    the time that it has left, because one that returns at once meets the same overload again.
    Returns are spread so that callers that were refused together do not come back as a herd.

    Args:
        response: The refusal.
        aim_left_s: Time until the answer is late, in seconds; not positive if it is late already.
        left_s: Time until the caller's deadline, in seconds.
        spread: Place within the spread, 0 to 1.
        pause_s: Time until a target takes a further call, in seconds; the caller does not come back
            earlier, unless its deadline is too near.
    """
    factor = 1.0 + RETRY_AFTER_SPREAD * (2.0 * spread - 1.0)
    share_s = RETRY_AFTER_SHARE * left_s
    in_time_s = RETRY_AFTER_AIM_SHARE * aim_left_s
    base_s = in_time_s if MIN_RETRY_AFTER_S <= in_time_s < share_s else share_s
    seconds = factor * max(base_s, min(pause_s, share_s))
    response.headers = [header for header in response.headers if header[0] != RETRY_AFTER]
    response.headers.append((RETRY_AFTER, b"%.2f" % max(MIN_RETRY_AFTER_S, seconds)))


def local_page(content_type: bytes, body: bytes) -> Response:
    """Return a successful response made by this node."""
    headers = [(b"content-type", content_type)]
    return Response(200, headers=headers, whole=body, length=len(body), from_node=True)


_FAILURE_STATUS = {
    (Verdict.NOT_RUN, False): 503,
    (Verdict.NOT_RUN, True): 503,
    (Verdict.MAY_HAVE_RUN, False): 502,
    (Verdict.MAY_HAVE_RUN, True): 504,
}


CALLER_GONE = "the caller has gone away"
"""Reason of refusals and failures because the caller has closed its connection."""


def failure_response(error: CallFailed, *, load: int | None = None) -> Response:
    """Return the response to a failed call; only 503 means that the call was not run."""
    status = _FAILURE_STATUS[error.verdict, isinstance(error, DeadlineExceeded)]
    return local_response(status, str(error), error.verdict, load=load)
