"""Starts a small fleet of real node processes on loopback addresses."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml
from attrs import define, field

from ..cli.client import ApiClient, ApiUnreachable
from ..standins.log_service import LogServiceStandIn
from ..standins.target import TargetStandIn

TOKEN = "demo-operator-token"
MESH_KEY = "00112233445566778899aabbccddeeff"
STOP_LIMIT_S = 40.0


def loopback_host() -> str:
    """Return a random address of 127.0.0.0/8.

    Outgoing connections use 127.0.0.1 as source. Hence they cannot take a port that was found free
    on another loopback address before the node binds it.
    """
    return f"127.{random.randint(1, 254)}.{random.randint(0, 255)}.{random.randint(1, 254)}"


def free_address(host: str = "127.0.0.1") -> str:
    """Return an ``ip:port`` of ``host`` that was free at the time of the call."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


@define
class FleetNode:
    """One node process with its target stand-in."""

    name: str
    availability_zone: str
    target: TargetStandIn
    addresses: dict[str, str]
    settings_path: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def client(self) -> ApiClient:
        """Client of this node's API."""
        return ApiClient(f"http://{self.addresses['api']}", token=TOKEN, operator="bench")

    @property
    def call_url(self) -> str:
        """Base address for calls."""
        return f"http://{self.addresses['call']}"

    @property
    def pid(self) -> int:
        """Process id of the running node."""
        if self.process is None:
            raise RuntimeError(f"node {self.name} is not running")
        return self.process.pid


@define
class Fleet:
    """A log stand-in and a number of nodes; use it as a context manager.

    Attributes:
        service: Service of all targets.
        profile: Policy of moves.
        log: The log service.
        zone_logs: Endpoint of the log service by availability zone; `cut_log` disconnects one.
        nodes: The nodes by name.
        executable: Command that starts the program.
    """

    service: str = "catalogue"
    profile: str = "spoorhout"
    log: LogServiceStandIn = field(factory=LogServiceStandIn)
    zone_logs: dict[str, LogServiceStandIn] = field(factory=dict)
    nodes: dict[str, FleetNode] = field(factory=dict)
    executable: list[str] = field(factory=lambda: [sys.executable, "-m", "citronrack"])
    _targets: list[TargetStandIn] = field(factory=list)
    _folder: tempfile.TemporaryDirectory[str] = field(factory=tempfile.TemporaryDirectory)

    def __enter__(self) -> Fleet:
        self.log.start()
        return self

    def __exit__(self, *_: object) -> None:
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for target in self._targets:
            target.stop()
        for log in self.zone_logs.values():
            log.stop()
        self.log.stop()
        self._folder.cleanup()

    def add_node(
        self, name: str, zone: str, *, service_version: str, target: TargetStandIn | None = None
    ) -> FleetNode:
        """Create a node's target and settings, without starting the node."""
        stand_in = target or TargetStandIn(service_version=service_version)
        if stand_in not in self._targets:
            self._targets.append(stand_in)
            stand_in.start()
        host = loopback_host()
        addresses = {key: free_address(host) for key in ("peer", "call", "deliver", "api")}
        path = Path(self._folder.name) / f"{name}.yaml"
        node = FleetNode(name, zone, stand_in, addresses, path)
        self.nodes[name] = node
        settings = self._settings(node, service_version)
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return node

    def cut_log(self, zone: str, *, cut: bool) -> None:
        """Cut a zone off from the log service, or connect it again."""
        self.zone_logs[zone].cut = cut
        with self.log.store.changed:
            self.log.store.changed.notify_all()

    def start(self, name: str) -> None:
        """Start a node's process; its log lines go to a file beside its settings."""
        node = self.nodes[name]
        with node.settings_path.with_suffix(".log").open("ab") as log:
            node.process = subprocess.Popen(
                [*self.executable, "node", str(node.settings_path)],
                stdout=log,
                stderr=log,
                env=os.environ.copy(),
            )

    def stop(self, name: str) -> int:
        """Stop a node gracefully and return its exit code."""
        process = self.nodes[name].process
        if process is None:
            raise RuntimeError(f"node {name} is not running")
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_LIMIT_S)

    def log_text(self, name: str) -> str:
        """Return the log lines of a node."""
        return self.nodes[name].settings_path.with_suffix(".log").read_text(encoding="utf-8")

    def _log_of(self, zone: str) -> LogServiceStandIn:
        if zone not in self.zone_logs:
            self.zone_logs[zone] = LogServiceStandIn(store=self.log.store)
            self.zone_logs[zone].start()
        return self.zone_logs[zone]

    def _settings(self, node: FleetNode, service_version: str) -> dict[str, Any]:
        others = [other for other in self.nodes.values() if other is not node]
        remote: dict[str, list[str]] = {}
        for other in others:
            if other.availability_zone != node.availability_zone:
                remote.setdefault(other.availability_zone, []).append(other.addresses["peer"])
        return {
            "node": {
                "name": node.name,
                "availability_zone": node.availability_zone,
                "peer_address": node.addresses["peer"],
                "call_address": node.addresses["call"],
                "deliver_address": node.addresses["deliver"],
            },
            "target": {
                "address": node.target.address,
                "service": self.service,
                "service_version": service_version,
            },
            "mesh": {
                "mesh_id": "demo",
                "key": MESH_KEY,
                "seeds": [
                    other.addresses["peer"]
                    for other in others
                    if other.availability_zone == node.availability_zone
                ],
                "remote_seeds": remote,
            },
            "log_service": {"url": self._log_of(node.availability_zone).url},
            "api": {"address": node.addresses["api"], "token": TOKEN, "requests_per_second": 200.0},
            "profile": self.profile,
        }


def wait_until(condition: Callable[[], bool], *, limit_s: float, poll_s: float = 0.05) -> bool:
    """Return whether ``condition`` became true within ``limit_s``.

    An unreachable API counts as false.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            if condition():
                return True
        except ApiUnreachable:
            pass
        time.sleep(poll_s)
    return False
