"""Routes calls to targets and hands calls to the own target."""

from __future__ import annotations

import itertools
import queue
import socket
import time
from collections.abc import Callable

import httptools

from ..verdict import Verdict
from .http import HttpMessage, read_answer
from .record import CallRecord
from .view import RoutingView, ViewHolder

UPSTREAM_TIMEOUT_S = 30.0
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)
_INTERNAL_PREFIX = b"x-citronrack-"


def render_answer(status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Return the bytes of an answer."""
    lines = [b"HTTP/1.1 %d -\r\n" % status]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    lines.append(b"content-length: %d\r\n\r\n" % len(body))
    return b"".join(lines) + body


def refuse(status: int, reason: str, verdict: Verdict) -> bytes:
    """Return an answer of this node itself."""
    headers = [(b"x-citronrack-verdict", verdict.value.encode())]
    return render_answer(status, headers, reason.encode() + b"\n")


def _end_to_end(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP and not name.startswith(_INTERNAL_PREFIX)
    ]


class Forwarder:
    """Sends requests over kept connections."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], queue.SimpleQueue[socket.socket]] = {}

    def send(self, address: tuple[str, int], request: HttpMessage) -> tuple[int, bytes]:
        """Return status and bytes of the answer to ``request``."""
        try:
            connection = socket.create_connection(address, timeout=UPSTREAM_TIMEOUT_S)
        except OSError:
            return 503, refuse(503, "no connection to the target", Verdict.NOT_RUN)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection:
            head = [b"%s %s HTTP/1.1\r\n" % (request.method.encode(), request.path.encode())]
            head.extend(b"%s: %s\r\n" % header for header in _end_to_end(request.headers))
            head.append(b"content-length: %d\r\n\r\n" % len(request.body))
            try:
                connection.sendall(b"".join(head) + request.body)
                answer = read_answer(connection)
            except (OSError, httptools.HttpParserError):
                answer = None
        if answer is None:
            return 502, refuse(502, "the answer is incomplete", Verdict.MAY_HAVE_RUN)
        return answer.status, render_answer(answer.status, _end_to_end(answer.headers), answer.body)


class CallRouter:
    """Answers requests of callers.

    Args:
        views: Present routing view.
        forwarder: Sends requests to other nodes.
        report: Receives a record of each call.
    """

    def __init__(
        self, *, views: ViewHolder, forwarder: Forwarder, report: Callable[[CallRecord], None]
    ) -> None:
        self._views = views
        self._forwarder = forwarder
        self._report = report
        self._turn = itertools.count()

    def handle(self, request: HttpMessage) -> bytes:
        """Return the answer to ``request``."""
        view: RoutingView = self._views.current
        if not view.ready:
            return refuse(503, view.reason, Verdict.NOT_RUN)
        route = view.route_of(request.path)
        if route is None:
            return refuse(404, "no route", Verdict.NOT_RUN)
        pool = view.pools.get((route.service, route.service_version), ())
        if not pool:
            return refuse(503, "no target", Verdict.NOT_RUN)
        target = pool[next(self._turn) % len(pool)]
        started = time.monotonic()
        status, answer = self._forwarder.send(target.deliver_address, request)
        self._report(
            CallRecord(
                route=route.name,
                service=route.service,
                service_version=route.service_version,
                method=request.method,
                status=status,
                latency_s=time.monotonic() - started,
                verdict=Verdict.RAN,
            )
        )
        return answer


class TargetDelivery:
    """Hands calls of other nodes to the own target."""

    def __init__(self, *, address: tuple[str, int], forwarder: Forwarder) -> None:
        self._address = address
        self._forwarder = forwarder

    def handle(self, request: HttpMessage) -> bytes:
        """Return the target's answer to ``request``."""
        return self._forwarder.send(self._address, request)[1]
