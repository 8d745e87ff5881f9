"""Accepts connections and serves each one on a thread of its own."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor

from ..errors import CallFailed
from ..verdict import Verdict
from ._response import NO_BODY_STATUSES
from ._sockets import abort, set_receive_timeout, set_timeouts
from .drain import Drainer
from .headers import ARRIVED, DEFAULT_HEADER_NAMES, LOAD, VERDICT, HeaderNames, response_head
from .limits import READ_BYTES, WireLimits
from .message import BodyReadError, Request, Response, local_response
from .request_reader import BadRequest, ConnectionEnded, ReceivedRequest, RequestReader

BACKLOG = 128
LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024
REFUSED_OPEN_S = 0.5
MAX_REFUSED_OPEN = 64
KEEP_ALIVE_GRACE_S = 1.0
"""During drain, kept connections stay open this long, so that requests already on their way get a
refusal instead of a closed connection."""

Handler = Callable[[Request], Response]


class CallServer:
    """A listener whose connections are served by ``handler``.

    Args:
        address: ``(ip, port)`` to listen on.
        handler: Returns the answer to one request.
        executor: Runs one thread per connection.
        drainer: State of the node's stop.
        limits: Limits for connections.
        nested: Whether a request belongs to a call in flight and is served during drain.
        sends_load: Whether answers carry the load; only between nodes.
        names: Names of the headers that callers use.
        dropped: Names of headers of callers that are not passed on.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        handler: Handler,
        executor: Executor,
        drainer: Drainer | None = None,
        limits: WireLimits | None = None,
        nested: Callable[[Request], bool] | None = None,
        sends_load: bool = False,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        dropped_headers: frozenset[bytes] = frozenset(),
    ) -> None:
        self._handler = handler
        self._executor = executor
        self._drainer = drainer if drainer is not None else Drainer()
        self._limits = limits if limits is not None else WireLimits()
        self._nested = nested
        self._sends_load = sends_load
        self._names = names
        self._dropped_headers = dropped_headers
        self._poll_s = RequestReader.poll_s(self._limits)
        self._listener = socket.create_server(address, backlog=BACKLOG)
        self._listener.settimeout(REFUSED_OPEN_S)
        self._lock = threading.Lock()
        self._connections: dict[socket.socket, bool] = {}  # value: whether it serves a request
        self._refused: deque[tuple[float, socket.socket]] = deque()
        self._stopping = False
        self._stopped = threading.Event()

    @property
    def address(self) -> tuple[str, int]:
        """``(ip, port)`` of the listener."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    def run(self) -> None:
        """Accept connections until `stop` is called."""
        try:
            while not self._stopping:
                try:
                    connection, _ = self._listener.accept()
                except TimeoutError:
                    self._close_refused()
                    continue
                except OSError:
                    if self._stopping:
                        return
                    time.sleep(REFUSED_OPEN_S)  # No descriptor is free; others end meanwhile.
                    continue
                self._handle_accepted(connection)
        finally:
            self._listener.close()
            self._close_refused(everything=True)

    def stop(self, limit_s: float = 0.0) -> bool:
        """Refuse new calls, wait for those in flight and close everything.

        Args:
            limit_s: Longest wait.

        Returns:
            Whether all calls had ended.
        """
        end = time.monotonic() + limit_s
        self._drainer.begin()
        idle = self._drainer.wait_idle(limit_s)
        if idle:
            self._wait_keep_alive(min(end, time.monotonic() + KEEP_ALIVE_GRACE_S))
        self._stopping = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RD)
        return idle

    def _wait_keep_alive(self, end: float) -> None:
        """Wait until callers have closed their connections, or until ``end``."""
        while time.monotonic() < end:
            with self._lock:
                if not self._connections:
                    return
            time.sleep(0.02)

    def _handle_accepted(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_timeouts(connection, receive_s=self._poll_s, send_s=self._limits.body_idle_s)
        with self._lock:
            surplus = len(self._connections) >= self._limits.connections
            if not surplus:
                self._connections[connection] = False
        if surplus:
            self._refuse_connection(connection)
        else:
            self._executor.submit(self._serve, connection)

    def _refuse_connection(self, connection: socket.socket) -> None:
        """Answer without reading; the connection is closed a little later.

        Closing at once would reset the connection and could destroy the answer on its way.
        """
        answer = local_response(503, "the node has too many connections", Verdict.NOT_RUN)
        with contextlib.suppress(OSError):
            connection.send(self._render(answer, keep=False, chunked=False), socket.MSG_DONTWAIT)
            connection.shutdown(socket.SHUT_WR)
        self._refused.append((time.monotonic() + REFUSED_OPEN_S, connection))
        self._close_refused()

    def _close_refused(self, *, everything: bool = False) -> None:
        now = time.monotonic()
        while self._refused and (
            everything or len(self._refused) > MAX_REFUSED_OPEN or self._refused[0][0] <= now
        ):
            self._refused.popleft()[1].close()

    def _serve(self, connection: socket.socket) -> None:
        reader = RequestReader(
            connection, self._limits, names=self._names, dropped_headers=self._dropped_headers
        )
        try:
            while self._serve_next(connection, reader):
                continue
            _linger(connection)
        except OSError:
            return  # The caller has gone away.
        finally:
            with self._lock:
                self._connections.pop(connection, None)
            connection.close()

    def _serve_next(self, connection: socket.socket, reader: RequestReader) -> bool:
        """Serve one request and return whether another one may follow."""
        try:
            exchange = reader.next()
        except ConnectionEnded:
            return False
        except BadRequest as error:
            answer = local_response(error.status, error.reason, Verdict.NOT_RUN)
            connection.sendall(self._render(answer, keep=False, chunked=False))
            return False
        request = exchange.request
        nested = self._drainer.draining and self._nested is not None and self._nested(request)
        if not self._drainer.enter(nested=nested):
            answer = local_response(503, "the node is stopping", Verdict.NOT_RUN)
            return self._send_answer(connection, exchange, answer)
        try:
            return self._send_answer(connection, exchange, self._handler(request))
        except BodyReadError:
            return False
        finally:
            self._drainer.leave()

    def _send_answer(
        self, connection: socket.socket, exchange: ReceivedRequest, answer: Response
    ) -> bool:
        """Write an answer and return whether the connection may be used again."""
        keep = exchange.keep_alive and exchange.body_complete and not self._drainer.draining
        head_only = exchange.request.method == "HEAD"
        bodiless = head_only or answer.status in NO_BODY_STATUSES
        chunked = answer.whole is None and answer.length is None and exchange.chunks_allowed
        if answer.whole is None and answer.length is None and not chunked:
            keep = False  # HTTP/1.0: the end of the connection ends the body.
        head = self._render(answer, keep=keep, chunked=chunked, head_only=bodiless)
        try:
            if answer.whole is not None:
                connection.sendall(head if bodiless else head + answer.whole)
            else:
                self._send_stream(connection, head, answer, chunked=chunked)
        except (CallFailed, OSError):
            # Without its end, the body must not look complete to the caller.
            abort(connection)
            return False
        finally:
            answer.finish()
        return keep

    @staticmethod
    def _send_stream(
        connection: socket.socket, head: bytes, answer: Response, *, chunked: bool
    ) -> None:
        connection.sendall(head)
        for part in answer.parts():
            if part:
                connection.sendall(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
        if chunked:
            connection.sendall(b"0\r\n\r\n")

    def _render(
        self, answer: Response, *, keep: bool, chunked: bool, head_only: bool = False
    ) -> bytes:
        """Return the head of an answer, and the body of a whole one unless ``head_only``."""
        headers = [*answer.headers, (VERDICT, answer.verdict.value.encode())]
        if self._sends_load and answer.load is not None:
            headers.append((LOAD, b"%d" % answer.load))
        if self._sends_load and answer.refused and answer.reached_target:
            headers.append((ARRIVED, b"1"))
        if chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif answer.length is not None and answer.status != 204:
            headers.append((b"content-length", b"%d" % answer.length))
        if not keep:
            headers.append((b"connection", b"close"))
        return response_head(answer.status, answer.reason, headers)


def _linger(connection: socket.socket) -> None:
    """Close in both directions without destroying an answer that is on its way.

    Closing with unread input resets the connection, and the peer may lose what it has not read.
    """
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
        set_receive_timeout(connection, LINGER_S)
        end = time.monotonic() + LINGER_S
        read = 0
        while time.monotonic() < end and read < LINGER_BYTES:
            try:
                data = connection.recv(READ_BYTES)
            except BlockingIOError:
                return
            if not data:
                return
            read += len(data)
