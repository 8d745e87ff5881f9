"""Plays each day again that once showed a fault, with the bench of the platform's users.

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
    """A day that showed a fault.

    Attributes:
        site: Name of the site file without its suffix.
        day: Name of the day.
        seed: Seed of the day, empty for the day's own.
        cause: What was wrong.
    """

    site: str
    day: str
    seed: str
    cause: str


def read_list(text: str) -> Iterator[FailedDay]:
    """Yield the days of a list: site, day and seed or ``-``, then the cause.

    Raises:
        ValueError: When a line has fewer parts.
    """
    for line in text.splitlines():
        if not line or line.startswith("#"):
            continue
        site, day, seed, cause = line.split(maxsplit=3)
        yield FailedDay(site, day, "" if seed == "-" else seed, cause)


def faults_of(entry: str) -> list[str]:
    """Return what a journal entry says against its days: broken rules and days given up."""
    days = json.loads(entry)["days"]
    rules = [f"{rule} broken {count} times" for day in days for rule, count in day["rules"].items()]
    return rules + [day["fault"] for day in days if day.get("fault")]


def replay(bench: str, sites: Path, failed: FailedDay) -> list[str]:
    """Play a day and return what is wrong with it."""
    before = set(JOURNAL.glob("*.json"))
    command = [bench, "run", str(sites / f"{failed.site}.toml"), failed.day]
    command += ["--seed", failed.seed] if failed.seed else []
    subprocess.run([*command, "--why", f"replay: {failed.cause}"], check=False)
    written = sorted(set(JOURNAL.glob("*.json")) - before)
    if not written:
        return ["the bench wrote no journal entry"]
    return faults_of(written[-1].read_text())


def main(bench: str, sites: str) -> int:
    """Play all days; return 1 when one of them is not clean."""
    found = {day: replay(bench, Path(sites), day) for day in read_list(LIST.read_text())}
    for day, faults in found.items():
        print(f"{day.site} {day.day} {day.seed}: {'; '.join(faults) or 'clean'}")
    return int(any(found.values()))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
