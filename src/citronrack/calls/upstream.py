"""Sends requests over pooled connections and tracks whether each one may have run."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator, Mapping

from attrs import define, field

from ..errors import CallFailed
from ..verdict import Verdict
from ._abandoned import AbandonedRequests
from ._connections import CANCEL_POLL_S, Address, Connection, ConnectionPool
from ._response import ResponseReader
from ._sockets import has_input, set_timeouts
from .headers import (
    ARRIVED,
    ENDED,
    EVACUATED,
    LAST_CHUNK,
    LOAD,
    PAUSE,
    VERDICT,
    Headers,
    end_to_end,
    request_head,
)
from .limits import READ_BYTES, WHOLE_BODY_BYTES
from .message import (
    CALLER_GONE,
    Body,
    BodyReadError,
    CallerDisconnected,
    DeadlineExceeded,
    Response,
    names_of,
)

SEND_TIMEOUT_S = 10.0
UNACKNOWLEDGED_MS = 1_000
"""TCP user timeout: a connection with unacknowledged data fails after this time.

An instance that lost power or is partitioned sends no reset, and the kernel's default is minutes.
"""

MAX_IDLE_NON_IDEMPOTENT_S = 1.0
"""Idle time after which a connection is not used for a non-idempotent request.

The peer may close an idle connection while the request is in flight, and whether the request ran is
then unknown. Servers keep connections for at least a few seconds, so a shorter idle time is safe.
"""

FIRST_PART_TIMEOUT_S = 1.0
"""Longest wait for the first part of a streamed body, which holds a slot of the target meanwhile.
The sender is another node, or a caller that does not wait for 100 Continue."""


def _do_nothing() -> None:
    return None


@define(eq=False)
class OutgoingRequest:
    """A request as it is sent to the next hop.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: All headers except those that frame the body.
        body: The body.
        idempotent: Whether the request may be sent again after a failure.
        deadline: Monotonic time by which the response must be complete, in seconds.
        cancelled: Returns whether the caller has disconnected.
        to_node: Whether the next hop is a node, which can refuse before it gets the body.
        buffer_response: Whether a short response is read completely before it is passed on, so that
            a truncated one can still be replaced.
        check_response: Returns what is wrong with a status and its headers, empty for nothing.
        on_target_done: Called once a request without a response can no longer be running.
    """

    method: str
    target: bytes
    headers: Headers = field(repr=names_of)
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
        """Whether the body is sent only after the node's 100 Continue.

        The node sends it when it is about to pass the request to its target. A request whose body
        was never sent has not run, whatever happens to the connection or the node. A body without
        a byte whose length is declared ends with the head, so there is nothing to withhold.
        """
        if not self.to_node or self.body.length == 0:
            return False
        return self.body.whole is None or not self.idempotent


class Upstream:
    """Sends requests over a pool of blocking connections.

    A connection returns to the pool only after its request was sent and its response was read
    completely. Otherwise it is closed, so that no request gets the response of another one.
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
        """Send a request and return its response, whose body may still be arriving.

        Raises:
            CallFailed: When there is no response; the verdict says whether the request may have
                run.
        """
        try:
            connection = self._get_connection(address, request, connect_timeout_s)
        except CallFailed as error:
            if error.verdict is not Verdict.NOT_RUN:
                request.on_target_done()
            raise
        try:
            reader = self._exchange(connection, request)
        except (DeadlineExceeded, CallerDisconnected):
            self._abandon(connection, request)
            raise
        except CallFailed as error:
            connection.socket.close()
            if connection.idle_s and error.verdict is Verdict.NOT_RUN:
                return self.send(address, request, connect_timeout_s=connect_timeout_s)
            request.on_target_done()
            raise
        except Exception as error:
            connection.socket.close()
            request.on_target_done()
            raise _call_failed(connection, f"the connection failed: {error!r}") from error
        return self._make_response(connection, request, reader)

    def _abandon(self, connection: Connection, request: OutgoingRequest) -> None:
        """Close the connection of a request that the caller no longer waits for."""
        if connection.sent_all:
            # The target may keep working until it notices; its slot stays in use until then.
            self._abandoned.add(connection.socket, request.on_target_done)
            return
        connection.socket.close()
        request.on_target_done()

    def _get_connection(
        self, address: Address, request: OutgoingRequest, connect_timeout_s: float
    ) -> Connection:
        longest_s = self._pool.max_idle_s(address)
        if not request.idempotent:
            longest_s = min(longest_s, MAX_IDLE_NON_IDEMPOTENT_S)
        while (connection := self._pool.take(address)) is not None:
            usable = connection.idle_s <= longest_s and not has_input(connection.socket)
            if usable:
                self._wait_first_part(connection, request)
                if self._write_head(connection, request):
                    return connection
            connection.socket.close()
        connection = self._connect(address, connect_timeout_s, deadline=request.deadline)
        self._wait_first_part(connection, request)
        if not self._write_head(connection, request):
            connection.socket.close()
            raise CallFailed("the new connection was closed", verdict=Verdict.NOT_RUN)
        return connection

    @staticmethod
    def _wait_first_part(connection: Connection, request: OutgoingRequest) -> None:
        """Wait for the first part of a streamed body before anything is sent to a target."""
        if request.to_node or request.body.whole is not None:
            return
        limit_s = min(FIRST_PART_TIMEOUT_S, request.deadline - time.monotonic())
        try:
            if request.body.wait_first_part(limit_s):
                return
            reason = "the body did not arrive"
        except BodyReadError as error:
            reason = f"the body did not arrive: {error}"
        connection.socket.close()
        raise CallerDisconnected(reason, verdict=Verdict.NOT_RUN)

    @staticmethod
    def _connect(address: Address, timeout_s: float, *, deadline: float) -> Connection:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise DeadlineExceeded("the deadline has passed", verdict=Verdict.NOT_RUN)
        try:
            sock = socket.create_connection(address, timeout=min(timeout_s, left_s))
        except OSError as error:
            if left_s < timeout_s and isinstance(error, TimeoutError):
                raise DeadlineExceeded(
                    "the deadline has passed", verdict=Verdict.NOT_RUN
                ) from error
            raise CallFailed(f"no connection: {error}", verdict=Verdict.NOT_RUN) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        set_timeouts(sock, receive_s=CANCEL_POLL_S, send_s=SEND_TIMEOUT_S)
        return Connection(sock, address)

    @staticmethod
    def _write_head(connection: Connection, request: OutgoingRequest) -> bool:
        """Write the head and a buffered body; return False when no byte was written.

        The first `send` either fails without accepting a byte or accepts at least one.
        """
        body = request.body.whole
        deferred = request.expects_continue
        framing = _framing(request, body)
        data = request_head(request.method.encode(), request.target, request.headers + framing)
        if body and not deferred:
            data += body
        connection.written = False
        connection.sent_all = False
        connection.write_failed = False
        try:
            sent = connection.socket.send(data)
        except OSError:
            return False
        connection.written = not deferred
        connection.written_at = time.monotonic()
        if sent < len(data):
            try:
                connection.socket.sendall(memoryview(data)[sent:])
            except OSError as error:
                connection.socket.close()
                raise _call_failed(
                    connection, "the connection broke while the request was sent"
                ) from error
        connection.sent_all = body is not None and not deferred
        return True

    def _exchange(self, connection: Connection, request: OutgoingRequest) -> ResponseReader:
        reader = ResponseReader(head_only=request.method == "HEAD")
        if request.expects_continue:
            self._receive_until(
                connection, request, reader, lambda: reader.continued or reader.head_done
            )
        if not connection.sent_all and not reader.head_done:
            self._upload(connection, request)
        self._receive_until(connection, request, reader, lambda: reader.head_done)
        fault = (
            request.check_response(reader.status, reader.fields) if request.check_response else ""
        )
        if fault:
            raise _call_failed(connection, fault)
        if request.buffer_response:
            self._buffer_body(connection, request, reader)
        return reader

    def _buffer_body(
        self, connection: Connection, request: OutgoingRequest, reader: ResponseReader
    ) -> None:
        """Read a response body to its end unless it is large."""
        held = sum(map(len, reader.parts))
        while not reader.complete and held <= WHOLE_BODY_BYTES:
            before = len(reader.parts)
            self._receive(connection, request, reader)
            if reader.broken:
                raise _call_failed(connection, reader.fault)
            held += sum(map(len, reader.parts[before:]))

    @staticmethod
    def _upload(connection: Connection, request: OutgoingRequest) -> None:
        """Send a streamed body; stop when the server responds before the end."""
        length = request.body.length
        chunked = length is None
        sent = 0
        try:
            parts = request.body.chunks()
            while request.body.wait_readable(
                connection.socket, request.deadline - time.monotonic()
            ):
                part = next(parts, None)
                if part is None:
                    break
                if not part:
                    continue  # An empty chunk would end the body.
                sent += len(part)
                if length is not None and sent > length:
                    raise BodyReadError("the body is longer than declared")
                if time.monotonic() > request.deadline:
                    raise DeadlineExceeded("the deadline has passed", verdict=_verdict(connection))
                framed = b"%x\r\n%b\r\n" % (len(part), part) if chunked else part
                _write_body(connection, framed)
            else:
                if sent != length:
                    return  # The server responded before the end of the body.
            if chunked:
                _write_body(connection, LAST_CHUNK)
            elif sent != length:
                raise BodyReadError("the body is shorter than declared")
        except BodyReadError as error:
            raise CallerDisconnected(
                f"the upload was cut short: {error}", verdict=_verdict(connection)
            ) from error
        except OSError as error:
            # The server may have responded and closed; a response, if any, is read next.
            connection.write_failed = not isinstance(error, BlockingIOError)
            return
        connection.sent_all = True

    def _receive_until(
        self,
        connection: Connection,
        request: OutgoingRequest,
        reader: ResponseReader,
        done: Callable[[], bool],
    ) -> None:
        while not done():
            self._receive(connection, request, reader)
            if reader.broken:
                raise _call_failed(connection, reader.fault)
            if reader.complete and not done():
                raise _call_failed(connection, "the answer is incomplete")

    def _receive(
        self, connection: Connection, request: OutgoingRequest, reader: ResponseReader
    ) -> None:
        """Read once; check the deadline and the caller while no data arrives."""
        while True:
            left_s = request.deadline - time.monotonic()
            if left_s <= 0:
                raise DeadlineExceeded("the deadline has passed", verdict=_verdict(connection))
            connection.limit_receive(CANCEL_POLL_S if left_s > CANCEL_POLL_S else left_s)
            try:
                data = connection.socket.recv(READ_BYTES)
                break
            except BlockingIOError:
                if request.cancelled():
                    raise CallerDisconnected(CALLER_GONE, verdict=_verdict(connection)) from None
            except OSError as error:
                self._record_loss(connection, reader)
                raise _call_failed(connection, f"the connection broke: {error}") from error
        if data:
            reader.feed(data)
            return
        self._record_loss(connection, reader)
        if not connection.write_failed:  # Otherwise a reset may have cut the answer short.
            reader.end()
        if not reader.complete:
            raise _call_failed(connection, "the connection ended before the answer was complete")

    def _record_loss(self, connection: Connection, reader: ResponseReader) -> None:
        if not reader.status:
            self._pool.record_loss(connection)

    def _make_response(
        self, connection: Connection, request: OutgoingRequest, reader: ResponseReader
    ) -> Response:
        verdict_value = reader.fields.get(VERDICT) if request.to_node else None
        response = Response(
            status=reader.status,
            reason=reader.reason,
            headers=end_to_end(reader.headers),
            length=reader.declared_length,
            load=_number(reader.fields.get(LOAD)) if request.to_node else None,
            from_node=verdict_value is not None and verdict_value != b"ran",
            verdict=_VERDICTS.get(verdict_value or b"", Verdict.RAN),
        )
        pause_ms = _number(reader.fields.get(PAUSE)) if request.to_node else None
        response.pause_s = pause_ms / 1000 if pause_ms is not None else None
        response.target_ended = request.to_node and ENDED in reader.fields
        response.evacuated = request.to_node and EVACUATED in reader.fields
        response.reached_target = (
            response.verdict is not Verdict.NOT_RUN or ARRIVED in reader.fields
        )
        if reader.complete:
            response.whole = b"".join(reader.parts)
            if request.method != "HEAD" and reader.status != 304:
                response.length = len(response.whole)
        else:
            response.whole = None
            response.stream = self._stream(connection, request, reader)
        response.add_done_callback(lambda _: self._release(connection, reader))
        return response

    def _stream(
        self, connection: Connection, request: OutgoingRequest, reader: ResponseReader
    ) -> Iterator[bytes]:
        while True:
            parts, reader.parts = reader.parts, []
            yield from parts
            if reader.complete:
                return
            self._receive(connection, request, reader)
            if reader.broken:
                raise _call_failed(connection, reader.fault)

    def _release(self, connection: Connection, reader: ResponseReader) -> None:
        if reader.complete and reader.reusable and connection.sent_all:
            self._pool.put(connection)
        else:
            connection.socket.close()


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


def _write_body(connection: Connection, data: bytes) -> None:
    """Write a part of a body or its last chunk, after which the server may act on the request."""
    connection.written = True
    connection.socket.sendall(data)


def _number(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() and len(value) < 8 else None


def _call_failed(connection: Connection, reason: str) -> CallFailed:
    return CallFailed(reason, verdict=_verdict(connection))


def _verdict(connection: Connection) -> Verdict:
    return Verdict.MAY_HAVE_RUN if connection.written else Verdict.NOT_RUN
