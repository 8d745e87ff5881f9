"""Node processes with stand-in targets and a stand-in store on loopback addresses."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from attrs import define, field

from .store_standin import StoreStandIn
from .target import TargetStandIn

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
READINESS = "/api/readiness"
GRACE_S = 4.0
START_LIMIT_S = 20.0


def free_ports(host: str, count: int) -> list[int]:
    """Return currently unused ports of an address."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


@define(eq=False)
class Instance:
    """An instance with a node process and a target."""

    name: str
    zone: str
    host: str
    service: str
    calls: int
    deliveries: int
    ready: int
    control: int
    peers: int
    app: int
    settings: Path
    process: subprocess.Popen[bytes] | None = None
    target: TargetStandIn | None = None

    def answers_ready(self) -> bool:
        """Return whether the readiness probe of the node succeeds."""
        return get_status(self.host, self.ready, READINESS) == 200


def get_status(host: str, port: int, path: str) -> int:
    """Return the status of a GET, 0 if there was no response."""
    connection = http.client.HTTPConnection(host, port, timeout=1.0)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


@define(eq=False)
class Installation:
    """A whole installation; use it as a context manager.

    Attributes:
        size: Number of instances.
        zones: Number of zones.
        services: Services, assigned to the instances in turn.
        work_s: Time that a target takes for a request.
        store: The stand-in of the store.
        instances: The instances.
        version: Version of the newest configuration.
        cold: Time for which targets are cold and the rate that they tolerate then, None for none.
        parameters: Further lines of the platform's parameters in the settings.
        tenants: Keys by workspace in the configurations that are written from now on.
    """

    size: int = 4
    zones: int = 2
    services: tuple[str, ...] = ("catalogue", "media")
    work_s: float = 0.01
    store: StoreStandIn = field(factory=StoreStandIn)
    instances: list[Instance] = field(factory=list)
    version: int = 0
    cold: tuple[str | None, float | None] = (None, None)
    parameters: str = ""
    tenants: dict[str, list[str]] = field(factory=dict)
    _folder: tempfile.TemporaryDirectory[str] = field(factory=tempfile.TemporaryDirectory)

    def __enter__(self) -> Installation:
        self.store.start()
        self.write_config()
        for index in range(self.size):
            instance = self._make(index)
            self.instances.append(instance)
            self.start_node(instance)
            self.start_target(instance)
        self.wait_ready()
        return self

    def __exit__(self, *_: object) -> None:
        for instance in self.instances:
            if instance.process is not None:
                instance.process.kill()
                instance.process.wait()
        for instance in self.instances:
            if instance.target is not None:
                instance.target.stop()
        self.store.stop()
        self._folder.cleanup()

    def wait_ready(self) -> None:
        """Wait until the readiness probes of all nodes succeed."""
        end = time.monotonic() + START_LIMIT_S
        for instance in self.instances:
            while not instance.answers_ready():
                if time.monotonic() > end:
                    raise TimeoutError(f"{instance.name} did not become ready")
                time.sleep(0.05)

    def start_node(self, instance: Instance) -> None:
        """Start the node's process."""
        environment = {
            **os.environ,
            "CITRONRACK_NODE_FILE": str(instance.settings),
            "PYTHONPATH": str(ROOT / "src"),
        }
        log = (Path(self._folder.name) / f"{instance.name}.log").open("ab")
        instance.process = subprocess.Popen(
            [sys.executable, "-m", "citronrack.platform"],
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def start_target(self, instance: Instance, **fields: Any) -> TargetStandIn:
        """Start the target of a node."""
        target = TargetStandIn(
            target_id=fields.pop("target_id", f"i-{instance.name}"),
            service=instance.service,
            zone=instance.zone,
            control=f"{instance.host}:{instance.control}",
            host=instance.host,
            port=instance.app,
            work_s=self.work_s,
            **fields,
        )
        target.start()
        instance.target = target
        return target

    def signal(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal to the node's process."""
        if instance.process is not None:
            instance.process.send_signal(number)

    def restart(self, instance: Instance, number: signal.Signals) -> None:
        """Stop the node's process with a signal and start it again."""
        if instance.process is None:
            raise RuntimeError(f"{instance.name} has no process")
        instance.process.send_signal(number)
        instance.process.wait(GRACE_S + 5)
        self.start_node(instance)

    def write_config(self, **prefixes: str) -> int:
        """Write a configuration and return its version.

        Args:
            prefixes: Additional routes as services by path segment.
        """
        self.version += 1
        routes = [
            *[(service, f"/{service}/", "idempotent", service) for service in self.services],
            *[(f"{s}-order", f"/{s}-order/", "non_idempotent", s) for s in self.services],
            *[(name, f"/{name}/", "idempotent", service) for name, service in prefixes.items()],
        ]
        columns = ["name", "host", "prefix", "kind", "timeout", "service", "max_attempts"]
        config = {
            "version": self.version,
            "routes": {
                "columns": columns,
                "rows": [
                    [name, HOST, prefix, kind, "1500ms", service, 2]
                    for name, prefix, kind, service in routes
                ],
            },
            "services": {
                "columns": ["name", "health_path", "max_connections", "cold_start", "cold_per_s"],
                "rows": [[service, "/healthz", 120, *self.cold] for service in self.services],
            },
            "limits": {},
        }
        if self.tenants:
            rows = [[name, keys] for name, keys in self.tenants.items()]
            config["tenants"] = {"columns": ["name", "api_keys"], "rows": rows}
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        return self.version

    def logs(self) -> Iterator[tuple[str, str]]:
        """Yield the name and log of each node."""
        for path in sorted(Path(self._folder.name).glob("*.log")):
            yield path.stem, path.read_text(errors="replace")

    def _make(self, index: int) -> Instance:
        # The port of the metrics is fixed, so concurrent test runs need different addresses.
        high, low = divmod(os.getpid() % 50_000, 250)
        host = f"127.{high + 1}.{low}.{index + 1}"
        calls, deliveries, ready, control, peers, app = free_ports(host, 6)
        zone = f"zone-{index % self.zones}"
        name = f"node-{index}"
        service = self.services[index % len(self.services)]
        settings = Path(self._folder.name) / f"{name}.toml"
        settings.write_text(f"""
[local]
node_id = "{name}"
ip = "{host}"
zone = "{zone}"
app_address = "{host}:{app}"
service = "{service}"
[network]
internal_port_range = [{peers}, {peers}]
[network.listen_addrs]
inbound = "{host}:{deliveries}"
outbound = "{host}:{calls}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[platform]
heartbeat = "500ms"
[platform.platform]
address = "{self.store.address}"
[constraints.parameters]
grace = "{GRACE_S}s"
retry_budget_ratio = 0.2
retry_slack = 60
{self.parameters}
""")
        return Instance(
            name, zone, host, service, calls, deliveries, ready, control, peers, app, settings
        )
