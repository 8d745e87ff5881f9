"""Replays each day that showed a fault on fleetbench, the bench of the platform's users.

Reads ``tools/failed_days.txt``; needs the bench, so CI does not run it.

Example:
    python tools/replay_days.py PATH/bin/fleetbench PATH/sites
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

from attrs import frozen

LIST = Path(__file__).resolve().parent / "failed_days.txt"
JOURNAL = LIST.parent.parent / "journal"


@frozen
class FailedDay:
    """A day of the bench that showed a fault.

    Attributes:
        site: Name of the site file without its suffix.
        day: Name of the day.
        seed: Seed of the day, empty for the day's own.
        cause: Cause of the fault.
    """

    site: str
    day: str
    seed: str
    cause: str


def read_list(text: str) -> Iterator[FailedDay]:
    """Yield the days of a list; a line has site, day, seed or ``-``, and the cause.

    Raises:
        ValueError: When a line has fewer fields.
    """
    for line in text.splitlines():
        if not line or line.startswith("#"):
            continue
        site, day, seed, cause = line.split(maxsplit=3)
        yield FailedDay(site, day, "" if seed == "-" else seed, cause)


def faults_of(entry: str) -> list[str]:
    """Return the violated rules and the aborted days of a journal entry."""
    days = json.loads(entry)["days"]
    rules = [f"{rule} broken {count} times" for day in days for rule, count in day["rules"].items()]
    return rules + [day["fault"] for day in days if day.get("fault")]


def replay(bench: str, sites: Path, failed: FailedDay) -> list[str]:
    """Replay a day and return its faults."""
    before = set(JOURNAL.glob("*.json"))
    command = [bench, "run", str(sites / f"{failed.site}.toml"), failed.day]
    command += ["--seed", failed.seed] if failed.seed else []
    subprocess.run([*command, "--why", f"replay: {failed.cause}"], check=False)
    written = sorted(set(JOURNAL.glob("*.json")) - before)
    if not written:
        return ["the bench wrote no journal entry"]
    return faults_of(written[-1].read_text())


def main(bench: str, sites: str) -> int:
    """Replay all days; return 1 when one of them has a fault."""
    found = {day: replay(bench, Path(sites), day) for day in read_list(LIST.read_text())}
    for day, faults in found.items():
        print(f"{day.site} {day.day} {day.seed}: {'; '.join(faults) or 'clean'}")
    return int(any(found.values()))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
