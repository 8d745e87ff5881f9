"""HTTP server with one thread per connection."""

from __future__ import annotations

import contextlib
import math
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
from .headers import (
    ARRIVED,
    DEFAULT_HEADER_NAMES,
    ENDED,
    EVACUATED,
    LAST_CHUNK,
    LOAD,
    PAUSE,
    VERDICT,
    HeaderNames,
    response_head,
)
from .limits import READ_BYTES, WireLimits
from .message import CALLER_GONE, BodyReadError, Request, Response, local_response
from .request_reader import BadRequest, ConnectionEnded, ReceivedRequest, RequestReader

BACKLOG = 128
LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024
REFUSED_OPEN_S = 0.5
MAX_REFUSED_OPEN = 64
KEEP_ALIVE_GRACE_S = 1.0
"""Time for which keep-alive connections stay open during drain, so that requests that callers have
just sent get a refusal instead of a closed connection."""

Handler = Callable[[Request], Response]


class CallServer:
    """A listener whose requests are handled by ``handler``.

    Args:
        address: ``(ip, port)`` to listen on.
        handler: Returns the response to one request.
        executor: Runs one thread per connection.
        on_error: Called with an unexpected error; only its request or connection ends.
        drainer: Drain state of the node.
        limits: Limits for connections.
        nested: Returns whether a request belongs to a call in flight and is served during drain.
        sends_load: Whether responses carry the load, which is for other nodes only.
        names: Names of the headers that callers use.
        dropped_headers: Names of request headers that are not passed on.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        handler: Handler,
        executor: Executor,
        on_error: Callable[[Exception], None],
        drainer: Drainer | None = None,
        limits: WireLimits | None = None,
        nested: Callable[[Request], bool] | None = None,
        sends_load: bool = False,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        dropped_headers: frozenset[bytes] = frozenset(),
    ) -> None:
        self._handler = handler
        self._on_error = on_error
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
        self._connections: dict[socket.socket, bool] = {}  # value: whether a thread serves it
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
                    # Out of file descriptors; other connections end in the meantime.
                    time.sleep(REFUSED_OPEN_S)
                    continue
                try:
                    self._handle_accepted(connection)
                except (OSError, RuntimeError) as error:  # the caller has reset it, or no thread
                    self._on_error(error)
                    self._drop(connection)
        finally:
            self._listener.close()
            self._close_refused(everything=True)

    def stop(self, limit_s: float = 0.0) -> bool:
        """Refuse new calls, wait for those in flight and close all connections.

        Args:
            limit_s: Longest wait, in seconds.

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
            over_limit = len(self._connections) >= self._limits.connections
            if not over_limit:
                self._connections[connection] = False
        if over_limit:
            self._refuse_connection(connection)
        else:
            self._executor.submit(self._serve, connection)

    def _drop(self, connection: socket.socket) -> None:
        """Refuse an accepted connection that cannot be served.

        An executor that fails to start a thread has queued the task all the same.
        """
        with self._lock:
            if self._connections.get(connection):
                return
            self._connections.pop(connection, None)
        self._refuse_connection(connection)

    def _claim(self, connection: socket.socket) -> bool:
        """Mark a connection as served; return False if it was refused meanwhile."""
        with self._lock:
            if connection not in self._connections:
                return False
            self._connections[connection] = True
            return True

    def _refuse_connection(self, connection: socket.socket) -> None:
        """Send a refusal without reading; the connection is closed after `REFUSED_OPEN_S`.

        Closing at once would reset the connection, and the refusal could be lost.
        """
        response = local_response(503, "the node cannot serve the connection", Verdict.NOT_RUN)
        with contextlib.suppress(OSError):
            connection.send(self._render(response, keep=False, chunked=False), socket.MSG_DONTWAIT)
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
        if not self._claim(connection):
            return
        reader = RequestReader(
            connection, self._limits, names=self._names, dropped_headers=self._dropped_headers
        )
        try:
            while self._serve_next(connection, reader):
                continue
            _linger(connection)
        except OSError:
            return  # The caller disconnected.
        except Exception as error:
            self._on_error(error)
        finally:
            with self._lock:
                self._connections.pop(connection, None)
            connection.close()

    def _serve_next(self, connection: socket.socket, reader: RequestReader) -> bool:
        """Serve one request; return whether another one may follow."""
        try:
            received = reader.next()
        except ConnectionEnded:
            return False
        except BadRequest as error:
            response = local_response(error.status, error.reason, Verdict.NOT_RUN)
            connection.sendall(self._render(response, keep=False, chunked=False))
            return False
        request = received.request
        if request.cancelled():
            # It may have waited behind another request, or been sent right before the close.
            response = local_response(503, CALLER_GONE, Verdict.NOT_RUN)
            return self._send_response(connection, received, response)
        nested = self._drainer.draining and self._nested is not None and self._nested(request)
        if not self._drainer.enter(nested=nested):
            response = local_response(503, "the node is stopping", Verdict.NOT_RUN)
            return self._send_response(connection, received, response)
        try:
            return self._send_response(connection, received, self._handle(request))
        except BodyReadError:
            return False
        finally:
            self._drainer.leave()

    def _handle(self, request: Request) -> Response:
        try:
            return self._handler(request)
        except BodyReadError:
            raise
        except Exception as error:
            self._on_error(error)
            return local_response(502, "an unexpected error", Verdict.MAY_HAVE_RUN)

    def _send_response(
        self, connection: socket.socket, received: ReceivedRequest, response: Response
    ) -> bool:
        """Write a response; return whether the connection may be used again."""
        keep = received.keep_alive and received.body_complete and not self._drainer.draining
        head_only = received.request.method == "HEAD"
        bodiless = head_only or response.status in NO_BODY_STATUSES
        chunked = response.whole is None and response.length is None and received.chunks_allowed
        if response.whole is None and response.length is None and not chunked:
            keep = False  # HTTP/1.0: the body ends with the connection.
        head = self._render(response, keep=keep, chunked=chunked, head_only=bodiless)
        try:
            if response.whole is not None:
                connection.sendall(head if bodiless else head + response.whole)
            else:
                self._send_stream(connection, head, response, chunked=chunked)
        except (CallFailed, OSError):
            # A truncated body must not look complete to the caller.
            abort(connection)
            return False
        finally:
            response.finish()
        return keep

    @staticmethod
    def _send_stream(
        connection: socket.socket, head: bytes, response: Response, *, chunked: bool
    ) -> None:
        connection.sendall(head)
        for part in response.parts():
            if part:
                connection.sendall(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
        if chunked:
            connection.sendall(LAST_CHUNK)

    def _render(
        self, response: Response, *, keep: bool, chunked: bool, head_only: bool = False
    ) -> bytes:
        """Return the head of a response, and a complete body unless ``head_only``."""
        headers = [*response.headers, (VERDICT, response.verdict.value.encode())]
        if self._sends_load and response.load is not None:
            headers.append((LOAD, b"%d" % response.load))
        if self._sends_load and response.pause_s is not None:
            headers.append((PAUSE, b"%d" % math.ceil(response.pause_s * 1000)))
        if self._sends_load and response.refused and response.reached_target:
            headers.append((ARRIVED, b"1"))
        if self._sends_load and response.target_ended:
            headers.append((ENDED, b"1"))
        if self._sends_load and response.evacuated:
            headers.append((EVACUATED, b"1"))
        if chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif response.length is not None and response.status != 204:
            headers.append((b"content-length", b"%d" % response.length))
        if not keep:
            headers.append((b"connection", b"close"))
        return response_head(response.status, response.reason, headers)


def _linger(connection: socket.socket) -> None:
    """Shut down sending and read until the peer closes, within limits.

    Closing with unread input would reset the connection, and the peer could lose the response.
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
