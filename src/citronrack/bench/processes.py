"""Measures real node processes: convergence, control bytes, processor time and memory.

Run ``python -m citronrack.bench.processes --nodes 10 20 40``.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from attrs import asdict, frozen

from ..standins.target import TargetStandIn
from .fleet import Fleet, FleetNode, wait_until

START_LIMIT_S = 120.0
CONVERGENCE_LIMIT_S = 30.0
CHANGE_INTERVAL_S = 2.0  # 8,700 changes per day are one every 10 s
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
MB = 1024 * 1024


@frozen
class ProcessUsage:
    """Resources that a process has used so far.

    Attributes:
        cpu_s: Processor time in seconds.
        resident_bytes: Resident memory.
        private_bytes: Resident memory that is not shared with other processes.
    """

    cpu_s: float
    resident_bytes: int
    private_bytes: int


@frozen
class FleetResult:
    """Measurements of one fleet size.

    Attributes:
        nodes: Number of node processes.
        zones: Number of availability zones.
        converged: Number of changes that were in force on all nodes.
        changes: Number of changes.
        convergence_median_s: Seconds from confirmation until the last node had the change in force.
        convergence_worst_s: The same, worst change.
        bytes_per_s_median: Control bytes sent per second and node, while changes go on.
        bytes_per_s_worst: The same, worst node.
        idle_bytes_per_s_median: Control bytes sent per second and node without changes.
        cpu_median: Share of a core per node without changes.
        cpu_worst: The same, worst node.
        resident_mb_median: Resident memory per node.
        private_mb_median: Resident memory per node that is not shared with other processes.
        log_reads_per_s: Read requests per second at the log service without changes.
    """

    nodes: int
    zones: int
    converged: int
    changes: int
    convergence_median_s: float
    convergence_worst_s: float
    bytes_per_s_median: float
    bytes_per_s_worst: float
    idle_bytes_per_s_median: float
    cpu_median: float
    cpu_worst: float
    resident_mb_median: float
    private_mb_median: float
    log_reads_per_s: float


def usage(pid: int) -> ProcessUsage:
    """Return the resources that process ``pid`` has used, read from ``/proc``."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    sizes = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, value, *_ = line.split()
        sizes[name.rstrip(":")] = int(value) * 1024
    return ProcessUsage(
        cpu_s=(int(fields[11]) + int(fields[12])) / CLOCK_TICKS,
        resident_bytes=sizes["Rss"],
        private_bytes=sizes["Private_Clean"] + sizes["Private_Dirty"],
    )


def measure(*, nodes: int, zones: int, changes: int, window_s: float) -> FleetResult:
    """Start a fleet, publish changes and return the measurements.

    Args:
        nodes: Number of node processes.
        zones: Number of availability zones.
        changes: Number of configuration changes.
        window_s: Length of the idle window in seconds.
    """
    target = TargetStandIn(service_version="1.0.0")
    with Fleet() as fleet:
        for index in range(nodes):
            fleet.add_node(
                f"n-{index}", f"zone-{index % zones}", service_version="1.0.0", target=target
            )
        for name in fleet.nodes:
            fleet.start(name)
        running = list(fleet.nodes.values())
        first = running[0]
        if not wait_until(lambda: _answers(running), limit_s=START_LIMIT_S, poll_s=0.5):
            raise RuntimeError("the fleet did not start in time")
        _publish(first, timeout_ms=5_000)
        ready = wait_until(lambda: _all_ready(running), limit_s=START_LIMIT_S, poll_s=0.5)
        if not ready:
            raise RuntimeError("the fleet did not become ready in time")
        idle = _idle_window(fleet, running, window_s)
        bytes_before = _bytes_sent(running)
        started = time.monotonic()
        times = []
        for index in range(changes):
            times.append(_convergence(fleet, first, timeout_ms=1_000 + index))
            # Bursts of changes would result in a byte rate that no deployment has.
            time.sleep(max(0.0, started + (index + 1) * CHANGE_INTERVAL_S - time.monotonic()))
        elapsed = time.monotonic() - started
        rates = [
            (after - before) / elapsed
            for before, after in zip(bytes_before, _bytes_sent(running), strict=True)
        ]
        kept = [seconds for seconds in times if seconds is not None]
        memory = [usage(node.pid) for node in running]
        return FleetResult(
            nodes=nodes,
            zones=zones,
            converged=len(kept),
            changes=changes,
            convergence_median_s=round(statistics.median(kept), 3) if kept else -1,
            convergence_worst_s=round(max(kept), 3) if kept else -1,
            bytes_per_s_median=round(statistics.median(rates)),
            bytes_per_s_worst=round(max(rates)),
            idle_bytes_per_s_median=round(statistics.median(idle.bytes_per_s)),
            cpu_median=round(statistics.median(idle.cpu), 4),
            cpu_worst=round(max(idle.cpu), 4),
            resident_mb_median=round(statistics.median(m.resident_bytes for m in memory) / MB, 1),
            private_mb_median=round(statistics.median(m.private_bytes for m in memory) / MB, 1),
            log_reads_per_s=round(idle.log_reads_per_s, 2),
        )


@frozen
class _Idle:
    cpu: list[float]
    bytes_per_s: list[float]
    log_reads_per_s: float


def _answers(running: Sequence[FleetNode]) -> bool:
    return all(node.client.get("/healthz").status == 200 for node in running)


def _all_ready(running: Sequence[FleetNode]) -> bool:
    return all(node.client.get("/readyz").status == 200 for node in running)


def _bytes_sent(running: Sequence[FleetNode]) -> list[int]:
    answers = (node.client.get("/v1/status").content for node in running)
    return [answer["transport"]["bytes_sent"] for answer in answers]


def _idle_window(fleet: Fleet, running: Sequence[FleetNode], window_s: float) -> _Idle:
    bytes_before = _bytes_sent(running)
    cpu_before = [usage(node.pid).cpu_s for node in running]
    reads_before = fleet.log.reads
    started = time.monotonic()
    time.sleep(window_s)
    cpu_after = [usage(node.pid).cpu_s for node in running]
    elapsed = time.monotonic() - started
    reads = fleet.log.reads - reads_before
    bytes_after = _bytes_sent(running)
    return _Idle(
        cpu=[(b - a) / elapsed for a, b in zip(cpu_before, cpu_after, strict=True)],
        bytes_per_s=[(b - a) / elapsed for a, b in zip(bytes_before, bytes_after, strict=True)],
        log_reads_per_s=reads / elapsed,
    )


def _publish(node: FleetNode, *, timeout_ms: int) -> int:
    intent = {
        "services": [{"name": "catalogue", "versions": {"1.0.0": {"name": "1.0.0"}}}],
        "routes": [
            {
                "name": "lookups",
                "prefix": "/",
                "service": "catalogue",
                "service_version": "1.0.0",
                "timeout_ms": timeout_ms,
            }
        ],
    }
    plan = node.client.post("/v1/plans", intent).content
    answer = node.client.post("/v1/plans/confirm", plan)
    if answer.status != 200:
        raise RuntimeError(f"the change was not accepted: {answer.content}")
    return int(answer.content["version"])


def _convergence(fleet: Fleet, first: FleetNode, *, timeout_ms: int) -> float | None:
    """Return the seconds until the slowest node logged the change, None when one never did."""
    started = time.time()
    version = _publish(first, timeout_ms=timeout_ms)
    found: dict[str, float] = {}

    def all_logged() -> bool:
        for name in fleet.nodes:
            if name not in found:
                seen = _in_force_at(fleet.log_text(name), version)
                if seen is not None:
                    found[name] = seen
        return len(found) == len(fleet.nodes)

    if not wait_until(all_logged, limit_s=CONVERGENCE_LIMIT_S, poll_s=0.1):
        return None
    return max(found.values()) - started


def _in_force_at(text: str, version: int) -> float | None:
    for line in reversed(text.splitlines()):
        if '"config_in_force"' in line:
            entry = json.loads(line)
            if entry["version"] >= version:
                return float(entry["time"])
    return None


def main(arguments: Sequence[str] | None = None) -> int:
    """Measure each size and print one JSON line per size."""
    parser = argparse.ArgumentParser(prog="citronrack bench processes")
    parser.add_argument("--nodes", type=int, nargs="+", default=[10, 20, 40])
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--window", type=float, default=10.0, help="idle window in seconds")
    options = parser.parse_args(arguments)
    for nodes in options.nodes:
        result = measure(
            nodes=nodes, zones=options.zones, changes=options.changes, window_s=options.window
        )
        print(json.dumps(asdict(result)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
