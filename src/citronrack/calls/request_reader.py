"""Reads requests from a caller's connection."""

from __future__ import annotations

import select
import socket
import time
from collections import deque
from collections.abc import Iterator

import httptools
from attrs import define, field

from ._sockets import at_end, has_input
from .headers import CONTEXT, DEFAULT_HEADER_NAMES, SERVICE, HeaderNames, Headers, end_to_end
from .limits import READ_BYTES, WHOLE_BODY_BYTES, WireLimits
from .message import Body, BodyReadError, Request, WholeBody

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MAX_TIMEOUT_DIGITS = 9


class BadRequest(Exception):
    """A request that is answered with an error and ends its connection.

    Args:
        status: HTTP status of the answer.
        reason: What is wrong.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ConnectionEnded(Exception):
    """The caller closed the connection, or it was idle for too long."""


@define(eq=False)
class _IncomingRequest:
    """A request while it is parsed."""

    target: bytes = b""
    method: bytes = b""
    version: str = "1.1"
    headers: Headers = field(factory=list)
    size: int = 0
    head_done: bool = False
    complete: bool = False
    keep_alive: bool = False
    parts: list[bytes] = field(factory=list)


@define(eq=False)
class ReceivedRequest:
    """One request and what the server needs to answer it.

    Attributes:
        request: The request.
        keep_alive: Whether the caller wants to use the connection again.
        chunks_allowed: Whether the caller understands a chunked answer.
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
    """The body of a request, read from the connection when it is wanted."""

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
        """Ask the caller for the body, if it waits for that, and wait for the first part."""
        if self._expects and not self._incoming.parts:
            self._expects = False
            self._reader.send_continue()
        return self._reader.fill(self._incoming, limit_s)

    def wait_readable(self, other: socket.socket, limit_s: float) -> bool:
        """Wait for the caller's next part, or for input on ``other``."""
        if self._incoming.parts or self._incoming.complete or self.replayable:
            return not has_input(other)
        return self._reader.wait_body(other, limit_s)

    def chunks(self) -> Iterator[bytes]:
        """Yield the parts as they arrive."""
        self.replayable = False
        if self._expects and not self._incoming.parts:
            self._reader.send_continue()
        yield from self._reader.body_parts(self._incoming)


class RequestReader:
    """Parses the requests of one connection, also when several arrive at once.

    Args:
        connection: Blocking socket with receive timeout `poll_s`.
        limits: Limits for time and size.
        names: Names of the headers that callers use.
        dropped: Names of headers that are not passed on.
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
        self._present = _IncomingRequest()
        self._ready: deque[_IncomingRequest] = deque()
        self._fault: BadRequest | None = None
        self._upgrade = False

    @staticmethod
    def poll_s(limits: WireLimits) -> float:
        """Return the receive timeout that keeps the limits to within a third."""
        return min(limits.idle_s, limits.head_s, limits.body_idle_s) / 3

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._present = _IncomingRequest()

    def on_url(self, url: bytes) -> None:
        self._present.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        present = self._present
        if present.head_done:
            return  # Trailers are dropped: nothing may be added to a request after its routing.
        present.size += len(name) + len(value) + 4
        if present.size > self._limits.max_head_bytes:
            self._fault = BadRequest(431, "the headers are too large")
            raise self._fault
        present.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        present = self._present
        present.head_done = True
        present.method = self._parser.get_method()
        present.version = self._parser.get_http_version()
        present.keep_alive = self._parser.should_keep_alive()
        self._ready.append(present)

    def on_body(self, data: bytes) -> None:
        self._present.parts.append(data)

    def on_message_complete(self) -> None:
        self._present.complete = True

    # Reading.

    def next(self) -> ReceivedRequest:
        """Return the next request.

        Raises:
            BadRequest: When the connection cannot be used any more.
            ConnectionEnded: When no request follows.
        """
        if not self._ready:
            self._await_head()
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
            cancelled=self._caller_gone,
        )
        return ReceivedRequest(
            request=request,
            keep_alive=incoming.keep_alive and not self._upgrade,
            chunks_allowed=incoming.version != "1.0",
            incoming=incoming,
        )

    def send_continue(self) -> None:
        """Tell the caller to send the body."""
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
                self._fill_body()

    def fill(self, incoming: _IncomingRequest, limit_s: float) -> bool:
        """Read until there is a part of a body; False when none came within the limit."""
        end = time.monotonic() + limit_s
        poller = select.poll()
        poller.register(self._connection, select.POLLIN)
        while not (incoming.parts or incoming.complete):
            if not poller.poll(max(0.0, end - time.monotonic()) * 1000):
                return False
            self._fill_body()
        return True

    def wait_body(self, other: socket.socket, limit_s: float) -> bool:
        """Return False when ``other`` has input before the caller has sent more."""
        poller = select.poll()
        poller.register(self._connection, select.POLLIN)
        poller.register(other, select.POLLIN)
        wait_s = max(0.0, min(limit_s, self._limits.body_idle_s))
        readable = {descriptor for descriptor, _ in poller.poll(wait_s * 1000)}
        if not readable:
            raise BodyReadError("the body stalled")
        return other.fileno() not in readable

    def _read_whole(self, incoming: _IncomingRequest) -> None:
        try:
            while not incoming.complete:
                self._fill_body()
        except BodyReadError as error:
            if self._fault is not None:
                raise self._fault from error
            raise BadRequest(408, "the body did not arrive") from error

    def _await_head(self) -> None:
        """Read until a head is complete."""
        if self._fault is not None:
            raise self._fault
        began = 0.0
        idle_since = 0.0
        while not self._ready:
            data = self._receive()
            if self._stalled(data, began=began):
                raise BadRequest(408, "the headers did not arrive in time")
            if data is None:
                now = time.monotonic()
                idle_since = idle_since or now - self.poll_s(self._limits)
                if not began and now - idle_since >= self._limits.idle_s:
                    raise ConnectionEnded("idle")
                continue
            if not data:
                raise ConnectionEnded("closed by the caller")
            self._feed(data)
            if not self._ready:
                began = began or time.monotonic()
                self._count_head(len(data))

    def _stalled(self, data: bytes | None, *, began: float) -> bool:
        return bool(began) and data != b"" and time.monotonic() - began > self._limits.head_s

    def _count_head(self, size: int) -> None:
        if self._fault is not None:
            raise self._fault
        # The parser reports a header when it is complete; one endless header shows only here.
        self._present.size = max(self._present.size, len(self._present.target)) + size
        if self._present.size > 2 * self._limits.max_head_bytes:
            raise BadRequest(431, "the headers are too large")

    def _receive(self) -> bytes | None:
        """Return data, nothing at the end of the connection, None after the receive timeout."""
        try:
            return self._connection.recv(READ_BYTES)
        except BlockingIOError:
            return None

    def _fill_body(self) -> None:
        waited_s = 0.0
        while (data := self._receive_body()) is None:
            waited_s += self.poll_s(self._limits)
            if waited_s >= self._limits.body_idle_s:
                raise BodyReadError("the body stalled")
        if not data:
            raise BodyReadError("the caller closed the connection")
        self._feed(data)
        if self._fault is not None:
            raise BodyReadError(str(self._fault)) from self._fault

    def _receive_body(self) -> bytes | None:
        if self._fault is not None:
            raise BodyReadError(str(self._fault)) from self._fault
        try:
            return self._receive()
        except OSError as error:
            raise BodyReadError("the connection failed") from error

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is offered: the request is answered as it stands, and what follows
            # it on the connection is not HTTP.
            self._upgrade = True
            self._fault = BadRequest(400, "no request may follow an upgrade")
        except httptools.HttpParserError as error:
            self._fault = self._fault or BadRequest(400, str(error))
            if self._ready and not self._ready[-1].complete:
                self._ready.pop()

    def _caller_gone(self) -> bool:
        return at_end(self._connection)


def _check_head(incoming: _IncomingRequest, fields: dict[bytes, bytes]) -> None:
    """Refuse what the parser accepts and this node does not serve."""
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
    """Return the length of the body, None for a chunked one; the parser has checked the value."""
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


def _timeout_ms(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > _MAX_TIMEOUT_DIGITS:
        return None
    return int(value)
