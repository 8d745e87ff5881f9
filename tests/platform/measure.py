"""``python -m tests.platform.measure`` prints what control costs a node at rest, by size."""

from __future__ import annotations

import http.client
import sys
import time
from pathlib import Path

from .installation import Installation, Instance

SIZES = (4, 8, 16, 32)
SETTLE_S = 4.0
MEASURED_S = 10.0


def metric(instance: Instance, name: str) -> float:
    """Return the value of a gauge of a node."""
    connection = http.client.HTTPConnection(instance.host, 9464, timeout=2)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    return next(float(line.split()[-1]) for line in lines if line.startswith(f"{name} "))


def cpu_s(instance: Instance) -> float:
    """Return the processor time that a node has used."""
    if instance.process is None:
        return 0.0
    fields = Path(f"/proc/{instance.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def resident_mb(instance: Instance) -> float:
    """Return the resident memory of a node."""
    if instance.process is None:
        return 0.0
    pages = int(Path(f"/proc/{instance.process.pid}/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def main() -> int:
    """Print a row for each size."""
    print("| nodes | bytes/s a node | messages/s a node | % of a core | MB | store calls/s, all |")
    print("|---|---|---|---|---|---|")
    for size in SIZES:
        with Installation(size=size, zones=2) as mesh:
            time.sleep(SETTLE_S)
            names = ("citronrack_message_bytes_sent", "citronrack_messages_sent")
            before = [sum(metric(i, name) for i in mesh.instances) for name in names]
            used = sum(cpu_s(i) for i in mesh.instances)
            calls = len(mesh.store.calls)
            time.sleep(MEASURED_S)
            after = [sum(metric(i, name) for i in mesh.instances) for name in names]
            used = sum(cpu_s(i) for i in mesh.instances) - used
            calls = len(mesh.store.calls) - calls
            memory = max(resident_mb(i) for i in mesh.instances)
        rates = [(b - a) / size / MEASURED_S for a, b in zip(before, after, strict=True)]
        core = 100 * used / size / MEASURED_S
        print(
            f"| {size} | {rates[0]:.0f} | {rates[1]:.1f} | {core:.2f} | {memory:.1f} |"
            f" {calls / MEASURED_S:.1f} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
