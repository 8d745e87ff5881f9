"""A small mesh in one process: sockets on loopback, stand-in targets and a minimal client."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Any

import httptools
from attrs import define, evolve, field

from citronrack.calls import (
    CallRecord,
    PoolTarget,
    RouteIndex,
    RouteShare,
    RoutingView,
    ViewHolder,
)
from citronrack.calls.authentication import Authenticator
from citronrack.calls.headers import DEFAULT_HEADER_NAMES, HeaderNames
from citronrack.calls.limits import WireLimits
from citronrack.calls.path import CallPath, OwnTarget, PathSettings, make_call_path
from citronrack.calls.target_identity import TargetIdentity
from citronrack.calls.workspace_limits import WorkspaceLimits
from citronrack.config import ConfigSet, Route, Service, ServiceVersion
from citronrack.standins.target import TargetStandIn
from citronrack.telemetry import EventLog

KEY = b"0123456789abcdef"
LOCALHOST = ("127.0.0.1", 0)
ROUTES = {
    "parts": Route(name="parts", prefix="/parts", service="catalogue", service_version="1"),
    "photos": Route(
        name="photos", prefix="/photos", service="catalogue", service_version="1", timeout_ms=20_000
    ),
    "hasty": Route(
        name="hasty", prefix="/hasty", service="catalogue", service_version="1", timeout_ms=300
    ),
}
CONFIG = ConfigSet(
    version=1,
    services={
        "catalogue": Service(
            name="catalogue", versions={"1": ServiceVersion("1"), "2": ServiceVersion("2")}
        )
    },
    routes=ROUTES,
)


@define(eq=False)
class MeshNode:
    """One node and its target."""

    name: str
    service_version: str
    zone: str
    target: TargetStandIn
    path: CallPath
    records: list[CallRecord] = field(factory=list)

    @property
    def call_address(self) -> tuple[str, int]:
        """Address for callers."""
        return self.path.calls.address


@define(eq=False)
class Mesh:
    """Nodes that route to each other; use it as a context manager.

    Attributes:
        evacuated: Zones whose nodes refuse calls for their targets, unknown to the asking nodes.
        names: Names of the headers that callers and targets use.
        target_id: Id of all targets; nodes forget the failures of a target with another one.
    """

    limits: WireLimits = field(factory=WireLimits)
    slots: int = 6
    balancer: str = "round-robin"
    names: HeaderNames = DEFAULT_HEADER_NAMES
    authenticator: Authenticator | None = None
    limits_of_workspaces: WorkspaceLimits | None = None
    events: EventLog | None = None
    nodes: list[MeshNode] = field(factory=list)
    evacuated: set[str] = field(factory=set)
    target_id: str = ""
    _executor: ThreadPoolExecutor = field(factory=lambda: ThreadPoolExecutor(200))
    _holders: list[ViewHolder] = field(factory=list)

    def add(
        self,
        *,
        service_version: str = "1",
        zone: str = "a",
        address: tuple[str, int] | None = None,
        **target: Any,
    ) -> MeshNode:
        """Start a node with a stand-in target, or with another server at an address."""
        stand_in = TargetStandIn(service_version=service_version, **target)
        stand_in.start()
        holder = ViewHolder()
        self._holders.append(holder)
        name = f"node-{len(self.nodes)}"
        records: list[CallRecord] = []

        def identity() -> TargetIdentity:
            evacuated = zone in self.evacuated
            refusal = "evacuated" if evacuated else ""
            return TargetIdentity(
                "catalogue", service_version, self.target_id, refusal, evacuated=evacuated
            )

        path = make_call_path(
            PathSettings(
                name=name,
                availability_zone=zone,
                key=KEY,
                balancer=self.balancer,
                names=self.names,
            ),
            call_address=LOCALHOST,
            deliver_address=LOCALHOST,
            target=OwnTarget(
                address or (stand_in.host, stand_in.port),
                "catalogue",
                service_version,
                self.slots,
                ramp_s=0.0,
            ),
            views=holder,
            events=self.events or EventLog(node=name, level="error"),
            report=records.append,
            executor=self._executor,
            random=Random(len(self.nodes)),
            limits=self.limits,
            identity=identity,
            authenticator=self.authenticator,
            limits_of_workspaces=self.limits_of_workspaces,
        )
        node = MeshNode(name, service_version, zone, stand_in, path, records)
        self.nodes.append(node)
        self._executor.submit(path.calls.run)
        self._executor.submit(path.deliveries.run)
        self.publish()
        return node

    def publish(
        self,
        *,
        without: tuple[str, ...] = (),
        shares: Mapping[str, RouteShare] | None = None,
        ready: bool = True,
        complete: bool = True,
        only: tuple[str, ...] | None = None,
    ) -> None:
        """Publish a view of the current targets to all nodes."""
        pools: dict[tuple[str, str], tuple[PoolTarget, ...]] = {}
        for node in self.nodes:
            if node.name in without or (only is not None and node.name not in only):
                continue
            key = ("catalogue", node.service_version)
            target = PoolTarget(node.name, node.path.deliveries.address, node.zone, self.slots)
            pools[key] = (*pools.get(key, ()), target)
        view = RoutingView(
            ready=ready,
            reason="" if ready else "not ready",
            config=CONFIG,
            shares=shares or {},
            pools=pools,
            index=RouteIndex(ROUTES.values()),
            complete=complete,
        )
        for holder in self._holders:
            holder.current = view

    def publish_address(self, address: tuple[str, int]) -> None:
        """Publish a view whose only target is another server than a node of the mesh."""
        target = PoolTarget("other", address, "a", self.slots)
        for holder in self._holders:
            holder.current = evolve(holder.current, pools={("catalogue", "1"): (target,)})

    def __enter__(self) -> Mesh:
        return self

    def __exit__(self, *_: object) -> None:
        for node in self.nodes:
            node.path.upstream.close()
        for node in self.nodes:
            node.path.stop(0.5)
            node.target.stop()
        self._executor.shutdown()


class Reply:
    """A parsed response; ``complete`` is false when it was truncated."""

    def __init__(self, *, head_only: bool) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._head_only = head_only
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.size = 0
        self.complete = False
        self.interim: list[int] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()
        self.complete = self._head_only and self.status >= 200

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        self.body = (self.body + data)[:1000]

    def on_message_complete(self) -> None:
        if self.status < 200:
            self.interim.append(self.status)
        else:
            self.complete = True

    def feed(self, data: bytes) -> None:
        """Parse bytes from the connection."""
        self._parser.feed_data(data)

    @property
    def verdict(self) -> str:
        """Value of the verdict header."""
        return self.headers.get("x-citronrack-verdict", "")


class Client:
    """A caller with one connection."""

    def __init__(self, address: tuple[str, int], *, timeout_s: float = 10.0) -> None:
        self.socket = socket.create_connection(address, timeout=timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *_: object) -> None:
        self.socket.close()

    def send(self, data: bytes) -> None:
        """Write raw bytes."""
        self.socket.sendall(data)

    def reply(self, *, head_only: bool = False) -> Reply:
        """Read one response, or what arrives of it."""
        reply = Reply(head_only=head_only)
        while not reply.complete:
            try:
                data = self.socket.recv(65536)
            except ConnectionError:
                break
            if not data:
                break
            reply.feed(data)
        return reply

    def call(
        self, path: str, *, method: str = "GET", body: bytes = b"", headers: str = ""
    ) -> Reply:
        """Send a request with a complete body and read the response."""
        self.send(request(path, method=method, body=body, headers=headers))
        return self.reply(head_only=method == "HEAD")

    @property
    def closed(self) -> bool:
        """Whether the server closed the connection; waits for the next byte or the end."""
        try:
            return not self.socket.recv(1)
        except ConnectionError:
            return True


def request(path: str, *, method: str = "GET", body: bytes = b"", headers: str = "") -> bytes:
    """Return the bytes of a request."""
    length = f"content-length: {len(body)}\r\n" if body or method == "POST" else ""
    return f"{method} {path} HTTP/1.1\r\nhost: mesh\r\n{length}{headers}\r\n".encode() + body


def call(address: tuple[str, int], path: str, **options: Any) -> Reply:
    """Send one request over a new connection."""
    with Client(address) as client:
        return client.call(path, **options)


def wait_for(condition: Any, *, limit_s: float = 5.0) -> bool:
    """Wait until a condition is true; return whether it became true."""
    pause = threading.Event()
    for _ in range(int(limit_s / 0.01)):
        if condition():
            return True
        pause.wait(0.01)
    return bool(condition())


class ScriptedServer:
    """A server that runs one script per connection, in order; the last one is repeated.

    Args:
        scripts: Functions that handle a connection, which is closed afterwards.
    """

    def __init__(self, *scripts: Callable[[socket.socket], object]) -> None:
        self.connections = 0
        self._scripts = scripts
        self._listener = socket.create_server(LOCALHOST)
        self._executor = ThreadPoolExecutor()
        self._executor.submit(self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """``(ip, port)`` of the listener."""
        host, port = self._listener.getsockname()
        return host, port

    def close(self) -> None:
        """Close the listener and wait for the scripts."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._executor.shutdown()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                script = self._scripts[min(self.connections, len(self._scripts) - 1)]
                self.connections += 1
                self._executor.submit(self._play, connection, script)

    @staticmethod
    def _play(connection: socket.socket, script: Callable[[socket.socket], object]) -> None:
        with connection:
            connection.settimeout(5.0)
            script(connection)
