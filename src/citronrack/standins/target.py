"""Stand-in for a target: a small HTTP server that can fail in the ways in which targets fail.

The behaviour for a request is selected by ``do`` in its query, for example
``/parts?do=delay:50,truncate``, or at random by `TargetStandIn.faults`.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from random import Random

import httptools
from attrs import define, field

from ..registry import Registry

READ_BYTES = 64 * 1024
MAX_CONNECTIONS = 512
_RESET = struct.pack("ii", 1, 0)
_PATTERN = bytes(range(256)) * 256


@define(eq=False)
class StandInRequest:
    """A request that has been read, with its connection."""

    connection: socket.socket
    path: str
    method: str = ""
    request_id: str = ""
    body_bytes: int = 0
    body: bytes = b""
    headers: list[tuple[str, str]] = field(factory=list)
    on_end: Callable[[], None] | None = None

    def end(self) -> None:
        """Release the slot before responding, because the next request may follow immediately."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end()

    def respond(
        self, status: int, body: bytes, *, headers: bytes = b"", length: int | None = None
    ) -> None:
        """Send a complete response; ``length`` overrides the declared content length."""
        self.end()
        size = len(body) if length is None else length
        head = b"HTTP/1.1 %d -\r\n%bcontent-length: %d\r\n\r\n" % (status, headers, size)
        self.connection.sendall(head if self.method == "HEAD" else head + body)

    def reset(self) -> None:
        """Close the connection with a reset."""
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.connection.close()


Behaviour = Callable[["TargetStandIn", StandInRequest, str], bool]
"""Acts on a request; returns whether the request has been answered or dropped."""

behaviours: Registry[Behaviour] = Registry("behaviour")


@behaviours.register("delay")
def _delay(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    time.sleep(float(argument or 50) / 1000)
    return False


@behaviours.register("fail")
def _fail(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    request.respond(int(argument or 500), b"failed\n")
    return True


@behaviours.register("truncate")
def _truncate(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    request.respond(200, b"only a part", length=int(argument or 1000))
    request.connection.close()
    return True


@behaviours.register("truncate-chunked")
def _truncate_chunked(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    head = b"HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n"
    request.connection.sendall(head + b"4\r\npart\r\n")
    request.connection.close()
    return True


@behaviours.register("chunked")
def _chunked(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    head = b"HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n"
    request.connection.sendall(head)
    for _ in range(int(argument or 3)):
        request.connection.sendall(b"5\r\nhello\r\n")
    request.connection.sendall(b"0\r\nx-trailer: dropped\r\n\r\n")
    return True


@behaviours.register("until-close")
def _until_close(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    request.connection.sendall(b"HTTP/1.1 200 -\r\nconnection: close\r\n\r\nto the end")
    request.connection.close()
    return True


@behaviours.register("large")
def _large(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    left = int(argument or 1_000_000)
    request.connection.sendall(b"HTTP/1.1 200 -\r\ncontent-length: %d\r\n\r\n" % left)
    while left:
        part = _PATTERN[: min(left, len(_PATTERN))]
        request.connection.sendall(part)
        left -= len(part)
    return True


@behaviours.register("status")
def _status(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    headers = b"" if argument != "304" else b"etag: 1\r\n"
    request.connection.sendall(b"HTTP/1.1 %b -\r\n%b\r\n" % (argument.encode(), headers))
    return True


@behaviours.register("surplus")
def _surplus(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    """Send a second response that belongs to no request, immediately or after a delay."""
    surplus = b"HTTP/1.1 200 -\r\ncontent-length: 4\r\n\r\nlate"
    if argument:
        request.respond(200, b"first\n")
        time.sleep(float(argument) / 1000)
        request.connection.sendall(surplus)
    else:
        request.respond(200, b"first\n" + surplus, length=len(b"first\n"))
    return True


@behaviours.register("spoof")
def _spoof(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    headers = b"x-citronrack-verdict: not-run\r\nx-citronrack-load: 0\r\n"
    headers += b"connection: x-private\r\nx-private: 1\r\n"
    request.respond(int(argument or 503), b"spoofed\n", headers=headers)
    return True


@behaviours.register("headers")
def _headers(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    """Respond with the names of the request's headers, and the values of one of them."""
    names = ",".join(name for name, _ in request.headers)
    values = "|".join(value for name, value in request.headers if name == argument)
    fields = f"x-seen: {names}\r\nx-values: {values}\r\n"
    request.respond(200, b"", headers=fields.encode("latin-1"))
    return True


@behaviours.register("malformed")
def _malformed(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    request.connection.sendall(b"this is not HTTP\r\n\r\n")
    return True


@behaviours.register("reset")
def _reset(target: TargetStandIn, request: StandInRequest, argument: str) -> bool:
    request.reset()
    return True


class _Parser:
    """Parser callbacks that count the bytes of a request's body without storing all of it."""

    def __init__(self, connection: socket.socket) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._connection = connection
        self.request = StandInRequest(connection, "")
        self.head_done = False
        self.complete = False
        self.keep_alive = True

    def on_url(self, url: bytes) -> None:
        self.request.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.request.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))
        if name.lower() == b"x-request-id":
            self.request.request_id = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.request.method = self._parser.get_method().decode("ascii")
        self.head_done = True

    def on_body(self, data: bytes) -> None:
        if not self.request.body_bytes:
            self.request.body = data
        self.request.body_bytes += len(data)

    def on_message_complete(self) -> None:
        self.keep_alive = self._parser.should_keep_alive()
        self.complete = True

    def read(self) -> bool:
        """Read one request; return False when the connection was closed or the request rejected."""
        while not self.complete:
            data = self._connection.recv(READ_BYTES)
            if not data:
                return False
            self._parser.feed_data(data)
            if self.head_done and "do=early" in self.request.path and not self.complete:
                self.request.respond(413, b"too large\n", headers=b"connection: close\r\n")
                return False
        return True


@define(eq=False)
class TargetStandIn:
    """A target for tests, benchmarks and the demo.

    Attributes:
        service_version: Service version that the responses contain.
        host: Address to listen on.
        port: Port to listen on, 0 for any free port.
        bad: Whether every response is a failure.
        delay_s: Duration of each request in seconds.
        slots: Requests that run concurrently; others are rejected with status 503. None for no
            limit.
        workers: Requests that are processed concurrently; others wait for a worker. None for no
            limit.
        faults: Probability of each behaviour, by name with an optional ``:argument``.
        random: Source of random numbers for faults.
        cold_s: Seconds after the start during which each request takes ten times as long.
        healthy: Result of ``/healthz``, regardless of the other state.
        reset_before_read: Probability that a connection is reset when a request has arrived, before
            it is read.
        calls: Number of requests that ran.
        running: Number of requests that are running.
        peak_running: Maximum number of requests that ran concurrently.
        executed: Values of the ``x-request-id`` header of requests that ran, in order.
        uploaded: Number of received body bytes.
    """

    service_version: str
    host: str = "127.0.0.1"
    port: int = 0
    bad: bool = False
    delay_s: float = 0.0
    slots: int | None = None
    workers: int | None = None
    faults: Mapping[str, float] = field(factory=dict)
    random: Random = field(factory=lambda: Random(1))
    cold_s: float = 0.0
    healthy: bool = True
    reset_before_read: float = 0.0
    calls: int = field(default=0, init=False)
    running: int = field(default=0, init=False)
    peak_running: int = field(default=0, init=False)
    executed: list[str] = field(factory=list, init=False)
    uploaded: int = field(default=0, init=False)
    _listener: socket.socket = field(init=False)
    _executor: ThreadPoolExecutor = field(init=False)
    _connections: set[socket.socket] = field(factory=set, init=False)
    _work: threading.Semaphore = field(init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _started: float = field(default=0.0, init=False)
    _stopping: bool = field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        self._listener = socket.create_server((self.host, self.port), backlog=128)
        self.host, self.port = self._listener.getsockname()[:2]
        self._work = threading.Semaphore(self.workers or MAX_CONNECTIONS)
        self._executor = ThreadPoolExecutor(MAX_CONNECTIONS, thread_name_prefix="target-stand-in")

    @property
    def address(self) -> str:
        """``ip:port`` of the server."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Serve in the background."""
        self._started = time.monotonic()
        self._executor.submit(self._accept)

    def stop(self) -> None:
        """Stop serving and release the port."""
        self._stopping = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self.disconnect()
        self._executor.shutdown()
        self._listener.close()

    def disconnect(self) -> None:
        """Close all connections, as a restart does."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while not self._stopping:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(connection)
            self._executor.submit(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        try:
            while self._serve_one(connection):
                continue
        except (OSError, httptools.HttpParserError):
            pass  # The peer or a behaviour has closed the connection.
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _serve_one(self, connection: socket.socket) -> bool:
        waiting = self.reset_before_read and connection.recv(1, socket.MSG_PEEK)
        if waiting and self.random.random() < self.reset_before_read:
            StandInRequest(connection, "").reset()
            return False
        parser = _Parser(connection)
        if not parser.read():
            return False
        request = parser.request
        self.uploaded += request.body_bytes
        with self._lock:
            if self.slots is not None and self.running >= self.slots:
                rejected = True
            else:
                rejected = False
                self.running += 1
                self.peak_running = max(self.peak_running, self.running)
                self.calls += 1
                if request.request_id:
                    self.executed.append(request.request_id)
        if rejected:
            request.respond(503, b"the target sheds load\n")
            return parser.keep_alive
        request.on_end = self._release_slot
        try:
            self._run(request)
        finally:
            request.end()
        return parser.keep_alive and connection.fileno() >= 0

    def _release_slot(self) -> None:
        with self._lock:
            self.running -= 1

    def _run(self, request: StandInRequest) -> None:
        path, _, query = request.path.partition("?")
        if path == "/healthz":
            request.respond(200 if self.healthy else 503, b"")
            return
        if self.delay_s:
            cold = time.monotonic() - self._started < self.cold_s
            with self._work:
                time.sleep(self.delay_s * (10 if cold else 1))
        for name, argument in self._selected_behaviours(query):
            if behaviours.get(name)(self, request, argument):
                return
        status = 500 if self.bad else 200
        echo = request.body[:100] if request.body_bytes == len(request.body) else b""
        request.respond(status, f"{self.service_version} {path}\n".encode() + echo)

    def _selected_behaviours(self, query: str) -> list[tuple[str, str]]:
        names = []
        for parameter in query.split("&"):
            if parameter.startswith("do="):
                names += parameter.removeprefix("do=").split(",")
        for name, probability in self.faults.items():
            if self.random.random() < probability:
                names.append(name)
        pairs = [name.partition(":") for name in names]
        return [(name, argument) for name, _, argument in pairs if name in behaviours]
