"""Sends requests over kept connections and knows whether a request may have run."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator, Mapping

from attrs import define

from ..errors import CallFailed
from ..verdict import Verdict
from ._abandoned import AbandonedRequests
from ._connections import CANCEL_POLL_S, Address, Connection, ConnectionPool
from ._response import ResponseReader
from ._sockets import has_input, set_timeouts
from .headers import ARRIVED, LOAD, VERDICT, Headers, end_to_end, request_head
from .limits import READ_BYTES, WHOLE_BODY_BYTES
from .message import Body, BodyReadError, CallerDisconnected, DeadlineExceeded, Response

SEND_TIMEOUT_S = 10.0
UNACKNOWLEDGED_MS = 1_000
"""Time after which a connection whose peer acknowledges nothing is broken; the default is minutes.

An instance that has lost power or is cut off answers nothing at all.
"""

MAX_IDLE_NON_IDEMPOTENT_S = 1.0
"""Idle time after which a connection gets no non-idempotent request.

The peer may close an idle connection while the request is on its way; whether the request ran is
unknown then. Servers keep connections for at least a few seconds, so a young one is safe.
"""

FIRST_PART_TIMEOUT_S = 1.0
"""Longest wait for the first part of a body that was asked for. The sender is another node, or a
caller that sends without being asked; the target's slot is taken meanwhile."""


def _do_nothing() -> None:
    return None


@define(eq=False)
class OutgoingRequest:
    """A request as it is sent to the next hop.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: All headers but those that frame the body.
        body: The body.
        idempotent: Whether the request may be sent again after a failure.
        deadline: Monotonic time in seconds at which the answer must be complete.
        cancelled: Returns whether the caller has gone away.
        to_node: Whether the next hop is a node, which can refuse before it gets the body.
        buffer_response: Whether a short answer is read to its end before it is handed on, so that one
            that is cut short can still be replaced.
        check_response: Returns what is wrong with a status and its headers, empty for nothing.
        settled: Called once a request without an answer can no longer be at work.
    """

    method: str
    target: bytes
    headers: Headers
    body: Body
    idempotent: bool
    deadline: float
    cancelled: Callable[[], bool]
    to_node: bool = False
    buffer_response: bool = False
    check_response: Callable[[int, Mapping[bytes, bytes]], str] | None = None
    on_target_done: Callable[[], None] = _do_nothing

    @property
    def expects_continue(self) -> bool:
        """Whether the body waits until a node asks for it.

        The node asks when it is about to give the request to its target. A request whose body it
        never got has not run, whatever happens to the connection or the node.
        """
        body = self.body.whole
        return self.to_node and (body is None or (bool(body) and not self.idempotent))


class Upstream:
    """A pool of blocking connections.

    A connection returns to the pool only after a request that was sent completely and a response
    that was read completely; any other end closes it, so no exchange can get an answer that
    belongs to another one.
    """

    def __init__(self) -> None:
        self._pool = ConnectionPool()
        self._abandoned = AbandonedRequests()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
        self._abandoned.close()

    def send(
        self, address: Address, request: OutgoingRequest, *, connect_timeout_s: float
    ) -> Response:
        """Send a request and return its answer, whose body may still be arriving.

        Raises:
            CallFailed: When there is no answer; the verdict says whether the request may have run.
        """
        try:
            link = self._connection(address, request, connect_timeout_s)
        except CallFailed as error:
            if error.verdict is not Verdict.NOT_RUN:
                request.on_target_done()
            raise
        try:
            response = self._exchange(link, request)
        except (DeadlineExceeded, CallerDisconnected):
            self._abandon(link, request)
            raise
        except CallFailed as error:
            link.socket.close()
            if link.idle_s and error.verdict is Verdict.NOT_RUN:
                return self.send(address, request, connect_timeout_s=connect_timeout_s)
            request.on_target_done()
            raise
        except Exception as error:
            link.socket.close()
            request.on_target_done()
            raise _call_failed(link, f"the connection failed: {error!r}") from error
        return self._answer(link, request, response)

    def _abandon(self, link: Connection, request: OutgoingRequest) -> None:
        """Close a connection whose request nobody waits for any more."""
        if link.sent_all:
            # The target may go on working until it notices; its slot stays taken that long.
            self._abandoned.add(link.socket, request.on_target_done)
            return
        link.socket.close()
        request.on_target_done()

    def _connection(
        self, address: Address, request: OutgoingRequest, connect_timeout_s: float
    ) -> Connection:
        longest_s = self._pool.max_idle_s(address)
        if not request.idempotent:
            longest_s = min(longest_s, MAX_IDLE_NON_IDEMPOTENT_S)
        while (link := self._pool.take(address)) is not None:
            fresh = link.idle_s <= longest_s and not has_input(link.socket)
            if fresh:
                self._wait_first_part(link, request)
                if self._write_head(link, request):
                    return link
            link.socket.close()
        link = self._connect(address, connect_timeout_s, deadline=request.deadline)
        self._wait_first_part(link, request)
        if not self._write_head(link, request):
            link.socket.close()
            raise CallFailed("the new connection was closed", verdict=Verdict.NOT_RUN)
        return link

    @staticmethod
    def _wait_first_part(link: Connection, request: OutgoingRequest) -> None:
        """Wait for the first part of a body before a target gets anything of its request."""
        if request.to_node or request.body.whole is not None:
            return
        limit_s = min(FIRST_PART_TIMEOUT_S, request.deadline - time.monotonic())
        try:
            if request.body.wait_first_part(limit_s):
                return
            reason = "the body did not arrive"
        except BodyReadError as error:
            reason = f"the body did not arrive: {error}"
        link.socket.close()
        raise CallerDisconnected(reason, verdict=Verdict.NOT_RUN)

    @staticmethod
    def _connect(address: Address, timeout_s: float, *, deadline: float) -> Connection:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise DeadlineExceeded("the deadline has passed", verdict=Verdict.NOT_RUN)
        try:
            connection = socket.create_connection(address, timeout=min(timeout_s, left_s))
        except OSError as error:
            if left_s < timeout_s and isinstance(error, TimeoutError):
                raise DeadlineExceeded(
                    "the deadline has passed", verdict=Verdict.NOT_RUN
                ) from error
            raise CallFailed(f"no connection: {error}", verdict=Verdict.NOT_RUN) from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        set_timeouts(connection, receive_s=CANCEL_POLL_S, send_s=SEND_TIMEOUT_S)
        return Connection(connection, address)

    @staticmethod
    def _write_head(link: Connection, request: OutgoingRequest) -> bool:
        """Write the head and a whole body; False when no byte was written.

        The first `send` either fails without having taken a byte or takes at least one.
        """
        body = request.body.whole
        follows = request.expects_continue
        framing = _framing(request, body)
        data = request_head(request.method.encode(), request.target, request.headers + framing)
        if body and not follows:
            data += body
        link.written = False
        link.sent_all = False
        try:
            sent = link.socket.send(data)
        except OSError:
            return False
        link.written = not follows
        link.written_at = time.monotonic()
        if sent < len(data):
            try:
                link.socket.sendall(memoryview(data)[sent:])
            except OSError as error:
                link.socket.close()
                raise _call_failed(
                    link, "the connection broke while the request was sent"
                ) from error
        link.sent_all = body is not None and not follows
        return True

    def _exchange(self, link: Connection, request: OutgoingRequest) -> ResponseReader:
        response = ResponseReader(head_only=request.method == "HEAD")
        if request.expects_continue:
            self._receive_until(
                link, request, response, lambda: response.continued or response.head_done
            )
        if not link.sent_all and not response.head_done:
            self._upload(link, request)
        self._receive_until(link, request, response, lambda: response.head_done)
        fault = (
            request.check_response(response.status, response.fields)
            if request.check_response
            else ""
        )
        if fault:
            raise _call_failed(link, fault)
        if request.buffer_response:
            self._buffer_body(link, request, response)
        return response

    def _buffer_body(
        self, link: Connection, request: OutgoingRequest, response: ResponseReader
    ) -> None:
        """Read a body to its end unless it is large."""
        held = sum(map(len, response.parts))
        while not response.complete and held <= WHOLE_BODY_BYTES:
            before = len(response.parts)
            self._receive(link, request, response)
            if response.broken:
                raise _call_failed(link, "the answer is malformed")
            held += sum(map(len, response.parts[before:]))

    @staticmethod
    def _upload(link: Connection, request: OutgoingRequest) -> None:
        """Send a streamed body; stop early when the server answers before the end."""
        length = request.body.length
        chunked = length is None
        sent = 0
        try:
            parts = request.body.chunks()
            while request.body.wait_readable(link.socket, request.deadline - time.monotonic()):
                part = next(parts, None)
                if part is None:
                    break
                if not part:
                    continue  # An empty chunk would end the body.
                sent += len(part)
                if length is not None and sent > length:
                    raise BodyReadError("the body is longer than declared")
                if time.monotonic() > request.deadline:
                    raise DeadlineExceeded("the deadline has passed", verdict=_verdict(link))
                link.written = True
                link.socket.sendall(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
            else:
                if sent != length:
                    return  # The server has answered before the end of the body.
            if chunked:
                link.socket.sendall(b"0\r\n\r\n")
            elif sent != length:
                raise BodyReadError("the body is shorter than declared")
        except BodyReadError as error:
            raise CallerDisconnected(
                f"the upload was cut short: {error}", verdict=_verdict(link)
            ) from error
        except OSError:
            # The server may have answered and closed; the answer, if there is one, is read next.
            return
        link.sent_all = True

    def _receive_until(
        self,
        link: Connection,
        request: OutgoingRequest,
        response: ResponseReader,
        done: Callable[[], bool],
    ) -> None:
        while not done():
            self._receive(link, request, response)
            if response.broken:
                raise _call_failed(link, "the answer is malformed")
            if response.complete and not done():
                raise _call_failed(link, "the answer is incomplete")

    def _receive(
        self, link: Connection, request: OutgoingRequest, response: ResponseReader
    ) -> None:
        """Read once; checks the deadline and the caller while nothing arrives."""
        while True:
            left_s = request.deadline - time.monotonic()
            if left_s <= 0:
                raise DeadlineExceeded("the deadline has passed", verdict=_verdict(link))
            link.limit_receive(CANCEL_POLL_S if left_s > CANCEL_POLL_S else left_s)
            try:
                data = link.socket.recv(READ_BYTES)
                break
            except BlockingIOError:
                if request.cancelled():
                    raise CallerDisconnected(
                        "the caller has gone away", verdict=_verdict(link)
                    ) from None
            except OSError as error:
                self._lost(link, response)
                raise _call_failed(link, f"the connection broke: {error}") from error
        if data:
            response.feed(data)
            return
        self._lost(link, response)
        response.end()
        if not response.complete:
            raise _call_failed(link, "the connection ended before the answer was complete")

    def _lost(self, link: Connection, response: ResponseReader) -> None:
        if not response.status:
            self._pool.record_loss(link)

    def _answer(
        self, link: Connection, request: OutgoingRequest, response: ResponseReader
    ) -> Response:
        verdict_value = response.fields.get(VERDICT) if request.to_node else None
        answer = Response(
            status=response.status,
            reason=response.reason,
            headers=end_to_end(response.headers),
            length=response.declared_length,
            load=_load(response.fields.get(LOAD)) if request.to_node else None,
            from_node=verdict_value is not None and verdict_value != b"ran",
            verdict=_VERDICTS.get(verdict_value or b"", Verdict.RAN),
        )
        answer.reached_target = answer.verdict is not Verdict.NOT_RUN or ARRIVED in response.fields
        if response.complete:
            answer.whole = b"".join(response.parts)
            if request.method != "HEAD" and response.status != 304:
                answer.length = len(answer.whole)
        else:
            answer.whole = None
            answer.stream = self._stream(link, request, response)
        answer.add_done_callback(lambda _: self._release(link, response))
        return answer

    def _stream(
        self, link: Connection, request: OutgoingRequest, response: ResponseReader
    ) -> Iterator[bytes]:
        while True:
            parts, response.parts = response.parts, []
            yield from parts
            if response.complete:
                return
            self._receive(link, request, response)
            if response.broken:
                raise _call_failed(link, "the answer is malformed")

    def _release(self, link: Connection, response: ResponseReader) -> None:
        if response.complete and response.reusable and link.sent_all:
            self._pool.put(link)
        else:
            link.socket.close()


_VERDICTS = {verdict.value.encode(): verdict for verdict in Verdict}


def _framing(request: OutgoingRequest, body: bytes | None) -> Headers:
    if body is not None and not request.expects_continue:
        if not body and request.method in ("GET", "HEAD", "DELETE", "OPTIONS", "TRACE"):
            return []
        return [(b"content-length", b"%d" % len(body))]
    framing: Headers = [(b"expect", b"100-continue")] if request.expects_continue else []
    if request.body.length is None:
        return [*framing, (b"transfer-encoding", b"chunked")]
    return [*framing, (b"content-length", b"%d" % request.body.length)]


def _load(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() and len(value) < 8 else None


def _call_failed(link: Connection, reason: str) -> CallFailed:
    return CallFailed(reason, verdict=_verdict(link))


def _verdict(link: Connection) -> Verdict:
    return Verdict.MAY_HAVE_RUN if link.written else Verdict.NOT_RUN
