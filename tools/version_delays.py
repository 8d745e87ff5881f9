"""Prints the delay of each node behind the first one per configuration version, from log lines.

    python tools/version_delays.py node1.log node2.log ...
    fleetbench run SITE DAY --log all | python tools/version_delays.py

A number before a JSON object is used as its time; otherwise the time in the line is used, which
comes from the clock of its node.
"""

from __future__ import annotations

import fileinput
import json
import sys
from collections.abc import Iterable, Iterator

from attrs import frozen

MIN_REPORTED_DELAY_S = 0.6
"""Delays up to this are normal: a read, a push and the delay of the links."""


@frozen
class Arrival:
    """A version came into force on a node.

    Attributes:
        version: The configuration version.
        node: Name of the node.
        time_s: Time in seconds.
        source: Source of the version.
    """

    version: int
    node: str
    time_s: float
    source: str


def arrivals(lines: Iterable[str]) -> Iterator[Arrival]:
    """Yield the arrivals in log lines; other lines are skipped."""
    for line in lines:
        prefix, brace, rest = line.partition("{")
        if not brace or '"config_in_force"' not in rest:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue  # The line is incomplete.
        first = prefix.split()[:1]
        time_s = float(first[0]) if first else float(fields["time"])
        source = str(fields.get("source", ""))
        yield Arrival(int(fields["version"]), str(fields["node"]), time_s, source)


def delays(found: Iterable[Arrival]) -> dict[int, list[Arrival]]:
    """Return for each version its first arrival and the late ones, in order of time."""
    by_version: dict[int, dict[str, Arrival]] = {}
    for arrival in found:
        by_version.setdefault(arrival.version, {}).setdefault(arrival.node, arrival)
    result = {}
    for version, nodes in sorted(by_version.items()):
        first, *others = sorted(nodes.values(), key=lambda arrival: arrival.time_s)
        late = [other for other in others if other.time_s - first.time_s > MIN_REPORTED_DELAY_S]
        result[version] = [first, *late]
    return result


def main() -> int:
    """Read the files named on the command line, or standard input."""
    with fileinput.input() as lines:
        found = delays(arrivals(lines))
    for version, (first, *late) in found.items():
        print(f"version {version}: first on {first.node} at {first.time_s:.2f} s")
        for arrival in late:
            after_s = arrival.time_s - first.time_s
            print(f"    {arrival.node} {after_s:.2f} s later, from {arrival.source or 'unknown'}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
