"""Reads and parses requests from a caller's connection."""

from __future__ import annotations

import select
import socket
import time
from collections import deque
from collections.abc import Iterator

import httptools
from attrs import define, field

from ._sockets import has_input, peer_has_closed
from .headers import (
    AIM,
    CONTEXT,
    DEFAULT_HEADER_NAMES,
    SERVICE,
    SUSPECT,
    HeaderNames,
    Headers,
    end_to_end,
    request_head,
    without_upgrade,
)
from .limits import READ_BYTES, WHOLE_BODY_BYTES, WireLimits
from .message import Body, BodyReadError, Request, WholeBody, names_of

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MAX_TIMEOUT_DIGITS = 9


class BadRequest(Exception):
    """A request that is rejected, after which its connection is closed.

    Args:
        status: HTTP status of the response.
        reason: What is wrong.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ConnectionEnded(Exception):
    """The caller closed the connection, or it exceeded the idle timeout."""


@define(eq=False)
class _IncomingRequest:
    """State of the parser for one request."""

    target: bytes = b""
    method: bytes = b""
    version: str = "1.1"
    headers: Headers = field(factory=list, repr=names_of)
    size: int = 0
    head_done: bool = False
    complete: bool = False
    keep_alive: bool = False
    parts: list[bytes] = field(factory=list)


@define(eq=False)
class ReceivedRequest:
    """A request with the connection options for its response.

    Attributes:
        request: The request.
        keep_alive: Whether the caller asks for a persistent connection.
        chunks_allowed: Whether the caller supports chunked coding.
        incoming: State of the parser for this request.
    """

    request: Request
    keep_alive: bool
    chunks_allowed: bool
    incoming: _IncomingRequest

    @property
    def body_complete(self) -> bool:
        """Whether the whole request has been read from the connection."""
        return self.incoming.complete


class _StreamedBody:
    """A request body that is read from the connection on demand."""

    whole = None

    def __init__(
        self,
        reader: RequestReader,
        incoming: _IncomingRequest,
        *,
        length: int | None,
        expects: bool,
    ) -> None:
        self.length = length
        self.replayable = True
        self._reader = reader
        self._incoming = incoming
        self._expects = expects

    def wait_first_part(self, limit_s: float) -> bool:
        """Send 100 Continue if the caller expects it, and wait for the first part."""
        if self._expects and not self._incoming.parts:
            self._expects = False
            self._reader.send_continue()
        return self._reader.wait_part(self._incoming, limit_s)

    def wait_readable(self, other: socket.socket, limit_s: float) -> bool:
        """Wait for the caller's next part or for input on ``other``."""
        if self._incoming.parts or self._incoming.complete or self.replayable:
            return not has_input(other)
        return self._reader.wait_body_or_input(other, limit_s)

    def chunks(self) -> Iterator[bytes]:
        """Yield the parts as they arrive."""
        self.replayable = False
        if self._expects and not self._incoming.parts:
            self._reader.send_continue()
        yield from self._reader.body_parts(self._incoming)


class RequestReader:
    """Parses the requests of one connection, including pipelined ones.

    Args:
        connection: Blocking socket with receive timeout `poll_s`.
        limits: Limits for time and size.
        names: Names of the headers that callers use.
        dropped_headers: Names of headers that are not passed on.
    """

    def __init__(
        self,
        connection: socket.socket,
        limits: WireLimits,
        *,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        dropped_headers: frozenset[bytes] = frozenset(),
    ) -> None:
        self._connection = connection
        self._limits = limits
        self._names = names
        self._dropped_headers = dropped_headers
        self._parser = httptools.HttpRequestParser(self)
        self._current = _IncomingRequest()
        self._ready: deque[_IncomingRequest] = deque()
        self._bytes_without_body = 0
        self._error: BadRequest | None = None

    @staticmethod
    def poll_s(limits: WireLimits) -> float:
        """Return the receive timeout, a third of the shortest time limit.

        The limits are checked after each timeout, so they are exceeded by a third at most.
        """
        return min(limits.idle_s, limits.head_s, limits.body_idle_s) / 3

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self._current = _IncomingRequest()

    def on_url(self, url: bytes) -> None:
        self._current.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        current = self._current
        if current.head_done:
            return  # Trailers are dropped, so that nothing is added to a request after its routing.
        current.size += len(name) + len(value) + 4
        if current.size > self._limits.max_head_bytes:
            self._error = BadRequest(431, "the headers are too large")
            raise self._error
        current.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        current = self._current
        current.head_done = True
        current.method = self._parser.get_method()
        current.version = self._parser.get_http_version()
        current.keep_alive = self._parser.should_keep_alive()
        self._ready.append(current)

    def on_body(self, data: bytes) -> None:
        self._bytes_without_body = 0
        self._current.parts.append(data)

    def on_message_complete(self) -> None:
        self._current.complete = True

    # Reading.

    def next(self) -> ReceivedRequest:
        """Return the next request.

        Raises:
            BadRequest: When the request is invalid; the connection must be closed.
            ConnectionEnded: When no request follows.
        """
        if not self._ready:
            self._read_head()
        incoming = self._ready.popleft()
        fields = dict(incoming.headers)
        _check_head(incoming, fields)
        if len(incoming.target) > self._limits.max_head_bytes:
            raise BadRequest(414, "the request target is too long")
        length = _declared_length(fields)
        expects = b"expect" in fields
        small = length is not None and length <= WHOLE_BODY_BYTES
        if small and not incoming.complete and not expects:
            self._read_whole(incoming)
        body: Body
        if incoming.complete:
            body = WholeBody(b"".join(incoming.parts))
        else:
            body = _StreamedBody(self, incoming, length=length, expects=expects)
        headers = end_to_end(incoming.headers)
        if self._dropped_headers:
            headers = [header for header in headers if header[0] not in self._dropped_headers]
        request = Request(
            method=incoming.method.decode("ascii"),
            target=incoming.target,
            headers=headers,
            body=body,
            context=fields.get(CONTEXT),
            service=fields.get(SERVICE, b"").decode("latin-1"),
            host=_host_name(fields.get(b"host", b"")),
            request_id=fields.get(self._names.request_id, b"").decode("latin-1"),
            timeout_ms=_timeout_ms(fields.get(self._names.timeout)),
            cancelled=self._caller_disconnected,
            aim_ms=_aim_ms(fields.get(AIM)),
            suspect=SUSPECT in fields,
            credentials=self._credentials(incoming.headers),
            workspace=self._workspace(fields),
        )
        return ReceivedRequest(
            request=request,
            keep_alive=incoming.keep_alive,
            chunks_allowed=incoming.version != "1.0",
            incoming=incoming,
        )

    def send_continue(self) -> None:
        """Send 100 Continue."""
        try:
            self._connection.sendall(CONTINUE)
        except OSError as error:
            raise BodyReadError("the caller closed the connection") from error

    def body_parts(self, incoming: _IncomingRequest) -> Iterator[bytes]:
        """Yield the parts of a body as they arrive."""
        while True:
            parts, incoming.parts = incoming.parts, []
            yield from parts
            if incoming.complete:
                return
            if not incoming.parts:
                self._read_body()

    def wait_part(self, incoming: _IncomingRequest, limit_s: float) -> bool:
        """Read until a part of a body arrives; return False when none came within the limit."""
        end = time.monotonic() + limit_s
        poller = select.poll()
        poller.register(self._connection, select.POLLIN)
        while not (incoming.parts or incoming.complete):
            if not poller.poll(max(0.0, end - time.monotonic()) * 1000):
                return False
            self._read_body()
        return True

    def wait_body_or_input(self, other: socket.socket, limit_s: float) -> bool:
        """Wait for the caller; return False when ``other`` has input before that."""
        poller = select.poll()
        poller.register(self._connection, select.POLLIN)
        poller.register(other, select.POLLIN)
        wait_s = max(0.0, min(limit_s, self._limits.body_idle_s))
        readable = {descriptor for descriptor, _ in poller.poll(wait_s * 1000)}
        if not readable:
            raise BodyReadError("the body stalled")
        return other.fileno() not in readable

    def _credentials(self, headers: Headers) -> tuple[bytes, ...]:
        return tuple(value for name, value in headers if name == self._names.credentials)

    def _workspace(self, fields: dict[bytes, bytes]) -> str:
        """Return the workspace that another node states, empty for a caller's request."""
        name = self._names.workspace
        return "" if name in self._dropped_headers else fields.get(name, b"").decode("latin-1")

    def _read_whole(self, incoming: _IncomingRequest) -> None:
        try:
            while not incoming.complete:
                self._read_body()
        except BodyReadError as error:
            if self._error is not None:
                raise self._error from error
            raise BadRequest(408, "the body did not arrive") from error

    def _read_head(self) -> None:
        """Read until a head is complete."""
        if self._error is not None:
            raise self._error
        started_at = 0.0
        idle_since = 0.0
        while not self._ready:
            data = self._receive()
            if self._head_timed_out(data, started_at=started_at):
                raise BadRequest(408, "the headers did not arrive in time")
            if data is None:
                now = time.monotonic()
                idle_since = idle_since or now - self.poll_s(self._limits)
                if not started_at and now - idle_since >= self._limits.idle_s:
                    raise ConnectionEnded("idle")
                continue
            if not data:
                raise ConnectionEnded("closed by the caller")
            self._feed(data)
            if not self._ready:
                started_at = started_at or time.monotonic()
                self._check_head_size(len(data))

    def _head_timed_out(self, data: bytes | None, *, started_at: float) -> bool:
        return (
            bool(started_at) and data != b"" and time.monotonic() - started_at > self._limits.head_s
        )

    def _check_head_size(self, size: int) -> None:
        if self._error is not None:
            raise self._error
        # The parser reports only complete headers, so a single endless header is limited here.
        self._current.size = max(self._current.size, len(self._current.target)) + size
        if self._current.size > 2 * self._limits.max_head_bytes:
            raise BadRequest(431, "the headers are too large")

    def _receive(self) -> bytes | None:
        """Return data, empty bytes at the end of the stream, None after the receive timeout."""
        try:
            return self._connection.recv(READ_BYTES)
        except BlockingIOError:
            return None

    def _read_body(self) -> None:
        waited_s = 0.0
        while (data := self._receive_body()) is None:
            waited_s += self.poll_s(self._limits)
            if waited_s >= self._limits.body_idle_s:
                raise BodyReadError("the body stalled")
        if not data:
            raise BodyReadError("the caller closed the connection")
        self._feed(data)
        # The parser buffers trailers without a limit, and the other bytes around a body mean none.
        if self._bytes_without_body > self._limits.max_head_bytes + READ_BYTES:
            self._error = self._error or BadRequest(431, "the chunks or trailers are too large")
        if self._error is not None:
            raise BodyReadError(str(self._error)) from self._error

    def _receive_body(self) -> bytes | None:
        if self._error is not None:
            raise BodyReadError(str(self._error)) from self._error
        try:
            return self._receive()
        except OSError as error:
            raise BodyReadError("the connection failed") from error

    def _feed(self, data: bytes) -> None:
        self._bytes_without_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._decline_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError as error:
            self._error = self._error or BadRequest(400, str(error))
            if self._ready and not self._ready[-1].complete:
                self._ready.pop()

    def _decline_upgrade(self, rest: bytes) -> None:
        """Parse a request again without its offer of another protocol, which a server may ignore.

        The parser takes a request with an offer as complete with its head, whatever its framing
        says. The offer concerns this connection only, so the target does not get it either.

        Args:
            rest: What follows the head.
        """
        offered = self._ready.pop()
        if offered.method == b"CONNECT":
            # What follows is not HTTP; the method is rejected with the head.
            self._ready.append(offered)
            self._error = BadRequest(400, "no request may follow CONNECT")
            return
        headers = without_upgrade(offered.headers)
        version = offered.version.encode()
        head = request_head(offered.method, offered.target, headers, version=version)
        self._parser = httptools.HttpRequestParser(self)
        self._feed(head + rest)

    def _caller_disconnected(self) -> bool:
        return peer_has_closed(self._connection)


def _check_head(incoming: _IncomingRequest, fields: dict[bytes, bytes]) -> None:
    """Reject requests that the parser accepts and this server does not support."""
    if incoming.version not in ("1.0", "1.1"):
        raise BadRequest(505, "only HTTP/1.0 and HTTP/1.1 are served")
    if incoming.method == b"CONNECT":
        raise BadRequest(501, "CONNECT is not served")
    if not incoming.target.startswith(b"/") and incoming.target != b"*":
        raise BadRequest(400, "the request target must be a path")
    if b"host" not in fields and incoming.version == "1.1":
        raise BadRequest(400, "a Host header is needed")
    if len(fields) < len(incoming.headers):
        _check_duplicates(incoming.headers)
    coding = fields.get(b"transfer-encoding")
    if coding is not None and coding.strip().lower() != b"chunked":
        raise BadRequest(501, "only the transfer coding chunked is served")
    if coding is not None and incoming.version == "1.0":
        raise BadRequest(400, "HTTP/1.0 has no transfer codings")
    expectation = fields.get(b"expect")
    if expectation is not None and expectation.lower() != b"100-continue":
        raise BadRequest(417, "the expectation is unknown")


def _check_duplicates(headers: Headers) -> None:
    for name in (b"host", b"transfer-encoding", b"expect"):
        if sum(key == name for key, _ in headers) > 1:
            raise BadRequest(400, f"more than one {name.decode()} header")


def _declared_length(fields: dict[bytes, bytes]) -> int | None:
    """Return the length of the body, None for a chunked one; the parser validated the value."""
    value = fields.get(b"content-length")
    if value is not None:
        return int(value)
    return None if b"transfer-encoding" in fields else 0


def _host_name(value: bytes) -> str:
    """Return the Host header without its port, in lower case."""
    name, colon, port = value.decode("latin-1").rpartition(":")
    if not colon or not port.isdigit():
        name = value.decode("latin-1")
    return name.strip().lower()


def _aim_ms(value: bytes | None) -> int | None:
    if value is None:
        return None
    ms = _timeout_ms(value.removeprefix(b"-"))
    return -ms if ms is not None and value.startswith(b"-") else ms


def _timeout_ms(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > _MAX_TIMEOUT_DIGITS:
        return None
    return int(value)
