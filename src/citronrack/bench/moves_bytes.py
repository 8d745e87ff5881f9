"""Measures the bytes of evidence messages in small zones and in one zone of 233 nodes."""

from __future__ import annotations

import sys
from collections.abc import Iterator

from ..moves import profiles
from .moves_fleet import MoveFleet
from .moves_parts import HARBOR_LANTERN, SPOORHOUT, Deployment
from .moves_versions import versions

TICK_S = 0.25
LENGTH_S = 60.0
TARGET_NODES = 233  # 3,500 nodes in 15 zones
SIZES = {
    "spoorhout": SPOORHOUT,
    "harbor-lantern": HARBOR_LANTERN,
    "233 nodes, 30 of the moving service": Deployment(("zone",), 30, 203, 300.0, 300.0),
    "233 nodes, all of the moving service": Deployment(("zone",), TARGET_NODES, 0, 2_000.0, 0.0),
}


def report() -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    yield "| sizes | profile | sent per node, mean | sent, worst | received, worst |"
    yield "|---|---|---|---|---|"
    for name, sizes in SIZES.items():
        for profile in profiles:
            fleet = MoveFleet(
                sizes,
                profile=profile,
                version=versions.get("good"),
                seed=1,
                tick_s=TICK_S,
            )
            fleet.run_until(lambda: False, limit_s=LENGTH_S)
            sent = [_rate(node.bytes_sent) for node in fleet.nodes]
            received = [_rate(node.bytes_received) for node in fleet.nodes]
            cells = (name, profile, sum(sent) / len(sent), max(sent), max(received))
            yield "| {} | {} | {:.0f} B/s | {:.0f} B/s | {:.0f} B/s |".format(*cells)


def _rate(number: int) -> float:
    return number / LENGTH_S


def main() -> int:
    """Print the table."""
    for line in report():
        print(line, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
