"""Stand-in of a target on the platform; it serves requests and sends reports to its node."""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Any

from attrs import define, field
from werkzeug.exceptions import ClientDisconnected
from werkzeug.serving import make_server
from werkzeug.wrappers import Request, Response

from citronrack.standins.log_service import QuietHandler

REPORT_INTERVAL_S = 0.5


@define(eq=False)
class TargetStandIn:
    """One start of a target.

    Attributes:
        target_id: Its id.
        service: Its service.
        zone: Zone of its instance.
        control: ``ip:port`` of the control address of its node.
        host: Address on which it serves.
        port: Port on which it serves, 0 for any.
        version: Version of the service that it runs.
        slots: Capacity that it reports.
        work_s: Time that a request takes.
        fail_share: Fraction of the requests that fail.
        draining: Whether its reports have state ``draining``.
        statements: Headers that are added to its answers.
        executed: Ids and start times of the executed requests, in order.
        callers: Services that have called it.
        most_running: Greatest number of concurrent requests.
        acknowledged_leave_at: Monotonic time of the first acknowledged draining report, 0 before.
        deadly: Part of the paths of requests under which the target ends, empty for none.
        ended: Whether it has ended under a request.
    """

    target_id: str
    service: str
    zone: str
    control: str
    host: str
    port: int = 0
    version: str = "v1"
    slots: int = 4
    work_s: float = 0.01
    fail_share: float = 0.0
    draining: bool = False
    statements: dict[str, str] = field(factory=dict)
    executed: list[tuple[str, float]] = field(factory=list)
    callers: set[str] = field(factory=set)
    tenants: set[str] = field(factory=set)
    keys: set[str] = field(factory=set)
    most_running: int = 0
    acknowledged_leave_at: float = 0.0
    deadly: str = ""
    ended: threading.Event = field(factory=threading.Event)
    _born_ms: int = field(factory=lambda: time.time_ns() // 1_000_000)
    _running: int = 0
    _sequence: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)
    _stopping: threading.Event = field(factory=threading.Event)
    _random: Random = field(factory=lambda: Random(1))
    _executor: ThreadPoolExecutor = field(factory=lambda: ThreadPoolExecutor(2))
    _server: Any = None
    _connections: list[socket.socket] = field(factory=list)

    def start(self) -> None:
        """Start serving and reporting in the background."""
        self._server = make_server(
            self.host, self.port, self._application, threaded=True, request_handler=QuietHandler
        )
        self.port = self._server.port
        self._server.verify_request = self._keep_connection
        self._executor.submit(self._server.serve_forever, 0.02)
        self._executor.submit(self._report_loop)

    def stop(self) -> None:
        """Stop serving without a leave notice."""
        self._stopping.set()
        self._server.shutdown()
        self._server.server_close()
        self._executor.shutdown()

    def _keep_connection(self, connection: socket.socket, _: object) -> bool:
        self._connections.append(connection)
        return True

    def _end(self) -> None:
        """End as a process that crashes: its listener and all connections close at once."""
        with self._lock:
            if self.ended.is_set():
                return
            self.ended.set()
        self._stopping.set()
        # Closing alone would leave it listening while the server's thread polls it.
        self._server.socket.shutdown(socket.SHUT_RDWR)
        self._server.server_close()
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def report(self) -> bool:
        """Send one report; return whether it was acknowledged."""
        self._sequence += 1
        draining = self.draining
        body = {
            "address": f"{self.host}:{self.port}",
            "born": self._born_ms,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": self.zone,
                "capacity": self.slots,
            },
            "status": {
                "state": "draining" if draining else "ready",
                "sequence": self._sequence,
                "cold_remaining": "0ms",
            },
        }
        acknowledged = (
            post_json(self.control, f"/api/Instances.Heartbeat/{self.target_id}", body) == 200
        )
        if acknowledged and draining and not self.acknowledged_leave_at:
            self.acknowledged_leave_at = time.monotonic()
        return acknowledged

    def _report_loop(self) -> None:
        while not self._stopping.is_set():
            self.report()
            self._stopping.wait(REPORT_INTERVAL_S)

    def _application(self, environ: Any, start_response: Callable[..., Any]) -> Any:
        return self._answer(Request(environ))(environ, start_response)

    def _answer(self, request: Request) -> Response:
        if request.headers.get("Expected-Instance", self.target_id) != self.target_id:
            return Response(status=421, headers={"Instance-Id": self.target_id})
        request_id = request.headers["Attempt-Id"]
        with self._lock:
            self._running += 1
            self.most_running = max(self.most_running, self._running)
            self.executed.append((request_id, time.monotonic()))
            self.callers.add(request.headers.get("Caller-Service", ""))
            self.tenants.add(request.headers.get("Tenant", ""))
            self.keys.add(request.headers.get("Authorization", ""))
            failed = self._random.random() < self.fail_share
        try:
            body = request.get_data()
        except ClientDisconnected:
            body = b""  # The node closed the connection in the middle of the body.
        self._stopping.wait(self.work_s)
        if self.deadly and self.deadly in request.full_path:
            self._end()
        with self._lock:
            self._running -= 1
        headers = {"Attempt-Id": request_id, "Instance-Signature": f"{self.target_id}.{request_id}"}
        headers.update(self.statements)
        content = f"{request_id} {len(body)}".encode()
        return Response(content, status=500 if failed else 200, headers=headers)


def post_json(address: str, path: str, body: dict[str, Any]) -> int:
    """Return the status of a POST, 0 if there was no response."""
    connection = http.client.HTTPConnection(address, timeout=1.0)
    try:
        connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
