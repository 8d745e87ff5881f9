"""Stand-in for the platform's log service, over HTTP."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgpack
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler, make_server
from werkzeug.wrappers import Request, Response

from ..errors import AppendUnknown, LogTrimmed, LogUnavailable
from .log_store import LogFaults, LogStore

__all__ = ["LogFaults", "LogServiceStandIn"]

MAX_RECORD_BYTES = 8 * 1024 * 1024
MAX_WAIT_MS = 30_000


class QuietHandler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, type: str, message: str, *args: Any) -> None:
        """Suppress the access log, which would clutter the output of tests."""


class LogServiceStandIn:
    """HTTP server of an append-only log in memory, with retention and fault injection.

    Args:
        host: Address to listen on.
        port: Port to listen on, 0 for any free port.
        retention: Number of records that each stream retains.
        retention_s: Seconds for which a record is retained, None for no limit.
        store: Streams to share between several stand-ins, each of which is one zone's access to the
            platform.

    Attributes:
        cut: Whether this stand-in refuses all requests, while others with the same store serve.
    """

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        retention: int = 100_000,
        retention_s: float | None = None,
        store: LogStore | None = None,
    ) -> None:
        self.cut = False
        self._store = store or LogStore(retention=retention, retention_s=retention_s)
        self._stopping = threading.Event()
        self._server: BaseWSGIServer = make_server(
            host, port, self._application, threaded=True, request_handler=QuietHandler
        )
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="log-stand-in")

    @property
    def url(self) -> str:
        """Base address of the service."""
        return f"http://{self._server.host}:{self._server.port}"

    @property
    def store(self) -> LogStore:
        """Store of the streams."""
        return self._store

    @property
    def faults(self) -> LogFaults:
        """Faults to inject."""
        return self._store.faults

    @property
    def appends(self) -> int:
        """Number of append requests, including failed ones."""
        return self._store.appends

    @property
    def reads(self) -> int:
        """Number of read requests, including failed ones."""
        return self._store.reads

    def start(self) -> None:
        """Serve in the background."""
        self._executor.submit(self._server.serve_forever, 0.05)

    def stop(self) -> None:
        """Stop serving and release the port."""
        self._stopping.set()
        with self._store.changed:
            self._store.changed.notify_all()
        self._server.shutdown()
        self._server.server_close()
        self._executor.shutdown()

    def trim(self, stream: str, first: int) -> None:
        """Drop all records of ``stream`` below offset ``first``."""
        self._store.trim(stream, first)

    def _application(self, environ: Any, start_response: Any) -> Any:
        response = self._answer(Request(environ))
        return response(environ, start_response)

    def _answer(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if len(parts) != 3 or parts[0] != "streams" or parts[2] != "records":
            return Response(status=404)
        body = request.get_data() if request.method == "POST" else b""
        if self.cut:
            return Response(status=503)
        if self.faults.delay_ms:
            self._stopping.wait(self.faults.delay_ms / 1000)
        if request.method == "POST":
            return self._append(parts[1], body)
        return self._read(parts[1], request)

    def _append(self, name: str, body: bytes) -> Response:
        if not 0 < len(body) <= MAX_RECORD_BYTES:
            return Response(status=400)
        try:
            offset = self._store.append(name, body)
        except AppendUnknown:
            return Response(status=503 if self.faults.outage else 504)
        return Response(msgpack.packb({"offset": offset}), status=200)

    def _read(self, name: str, request: Request) -> Response:
        start = request.args.get("from", 0, type=int)
        limit = request.args.get("max", 100, type=int)
        wait_ms = min(request.args.get("wait_ms", 0, type=int), MAX_WAIT_MS)
        with self._store.changed:
            self._store.changed.wait_for(
                lambda: self._wait_is_over(name, start), timeout=wait_ms / 1000
            )
        try:
            page = self._store.read(name, start, limit=limit)
        except LogTrimmed as error:
            return Response(msgpack.packb({"first": error.first}), status=410)
        except LogUnavailable:
            return Response(status=503)
        content = {"first": page.first, "end": page.end, "records": page.records}
        return Response(msgpack.packb(content, use_bin_type=True), status=200)

    def _wait_is_over(self, name: str, start: int) -> bool:
        down = self.cut or self.faults.outage or self._stopping.is_set()
        return down or self._store.end(name) > start
