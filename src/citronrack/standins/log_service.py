"""Stand-in of the platform's log service over HTTP."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgpack
from attrs import define, field
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler, make_server
from werkzeug.wrappers import Request, Response

MAX_RECORD_BYTES = 8 * 1024 * 1024
MAX_WAIT_MS = 30_000


@define
class LogFaults:
    """Switches for faults of the service.

    Attributes:
        outage: Refuse every request with status 503.
        lose_answers: Number of coming appends that take effect without an answer.
        delay_ms: Extra time before each answer.
    """

    outage: bool = False
    lose_answers: int = 0
    delay_ms: int = 0


@define
class _Stream:
    first: int = 0
    records: list[bytes] = field(factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class _QuietHandler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, type: str, message: str, *args: Any) -> None:
        """Write nothing; the stand-in shares a terminal with tests."""


class LogServiceStandIn:
    """An append-only log in memory with offsets, retention and faults.

    Args:
        host: Address to listen on.
        port: Port to listen on, 0 for a free one.
        retention: Number of records that each stream keeps.
    """

    def __init__(self, *, host: str = "127.0.0.1", port: int = 0, retention: int = 100_000) -> None:
        self.faults = LogFaults()
        self._retention = retention
        self._streams: dict[str, _Stream] = {}
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self._requests: dict[str, int] = {"append": 0, "read": 0}
        self._server: BaseWSGIServer = make_server(
            host, port, self._application, threaded=True, request_handler=_QuietHandler
        )
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="log-stand-in")

    @property
    def url(self) -> str:
        """Base address of the service."""
        return f"http://{self._server.host}:{self._server.port}"

    @property
    def appends(self) -> int:
        """Number of appends that took effect."""
        return self._requests["append"]

    @property
    def reads(self) -> int:
        """Number of read requests."""
        return self._requests["read"]

    def start(self) -> None:
        """Serve in the background."""
        self._executor.submit(self._server.serve_forever, 0.05)

    def stop(self) -> None:
        """Stop serving and release the port."""
        self._stopping.set()
        with self._changed:
            self._changed.notify_all()
        self._server.shutdown()
        self._server.server_close()
        self._executor.shutdown()

    def trim(self, stream: str, first: int) -> None:
        """Drop all records of ``stream`` below offset ``first``."""
        with self._changed:
            kept = self._streams[stream]
            dropped = min(max(first - kept.first, 0), len(kept.records))
            del kept.records[:dropped]
            kept.first += dropped

    def _application(self, environ: Any, start_response: Any) -> Any:
        response = self._answer(Request(environ))
        return response(environ, start_response)

    def _answer(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if len(parts) != 3 or parts[0] != "streams" or parts[2] != "records":
            return Response(status=404)
        body = request.get_data() if request.method == "POST" else b""
        if self.faults.delay_ms:
            self._stopping.wait(self.faults.delay_ms / 1000)
        if self.faults.outage:
            return Response(status=503)
        if request.method == "POST":
            return self._append(parts[1], body)
        return self._read(parts[1], request)

    def _append(self, name: str, body: bytes) -> Response:
        if not 0 < len(body) <= MAX_RECORD_BYTES:
            return Response(status=400)
        with self._changed:
            stream = self._streams.setdefault(name, _Stream())
            offset = stream.end
            stream.records.append(body)
            surplus = len(stream.records) - self._retention
            if surplus > 0:
                del stream.records[:surplus]
                stream.first += surplus
            self._requests["append"] += 1
            lost = self.faults.lose_answers > 0
            self.faults.lose_answers -= int(lost)
            self._changed.notify_all()
        if lost:
            return Response(status=504)
        return Response(msgpack.packb({"offset": offset}), status=200)

    def _read(self, name: str, request: Request) -> Response:
        start = request.args.get("from", 0, type=int)
        limit = request.args.get("max", 100, type=int)
        wait_ms = min(request.args.get("wait_ms", 0, type=int), MAX_WAIT_MS)
        with self._changed:
            self._requests["read"] += 1
            stream = self._streams.setdefault(name, _Stream())
            self._changed.wait_for(
                lambda: stream.end > start or self._stopping.is_set(), wait_ms / 1000
            )
            if start < stream.first:
                return Response(msgpack.packb({"first": stream.first}), status=410)
            chosen = stream.records[start - stream.first : start - stream.first + limit]
            page = {
                "first": stream.first,
                "end": stream.end,
                "records": [(start + index, data) for index, data in enumerate(chosen)],
            }
        if self.faults.outage:
            return Response(status=503)
        return Response(msgpack.packb(page, use_bin_type=True), status=200)
