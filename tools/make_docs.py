"""Writes the catalogues in ``docs/`` from the code, or checks that they are up to date."""

from __future__ import annotations

import sys
from pathlib import Path

from citronrack.telemetry.events import EVENTS
from citronrack.telemetry.exposition import EXPOSED_METRICS
from citronrack.telemetry.metrics import METRICS

DOCS = Path(__file__).resolve().parent.parent / "docs"


def events_page() -> str:
    """Return the page on log events."""
    rows = [
        f"| {event.value} | `{event.name.lower()}` | {info.level} | {info.meaning} |"
        for event, info in sorted(EVENTS.items())
    ]
    head = [
        "# Log events",
        "",
        "Each log line is a JSON object with `number`, `event`, `level`, `time` (seconds since the",
        "Unix epoch) and `node`. `tools/make_docs.py` writes this page; CI checks it.",
        "",
        "| Number | Event | Level | Meaning |",
        "|---|---|---|---|",
    ]
    return "\n".join([*head, *rows]) + "\n"


def metrics_page() -> str:
    """Return the page on metrics."""
    rows = [f"| `{name}` | {meaning} |" for name, meaning in METRICS.items()]
    head = [
        "# Metrics",
        "",
        "Sent over statsd as `citronrack.NODE.NAME` when `telemetry.statsd` is set.",
        "`tools/make_docs.py` writes this page; CI checks it.",
        "",
        "| Name | Meaning |",
        "|---|---|",
    ]
    exposed = [
        f"| `citronrack_{name}` | {kind} | {', '.join(labels)} | {meaning} |"
        for name, (kind, labels, meaning) in EXPOSED_METRICS.items()
    ]
    fetched = [
        "",
        "## On the platform",
        "",
        "Served as text at port 9464, path `/metrics`; counters have the suffix `_total`.",
        "",
        "| Name | Kind | Labels | Meaning |",
        "|---|---|---|---|",
    ]
    return "\n".join([*head, *rows, *fetched, *exposed]) + "\n"


def main() -> int:
    """Write the pages, or with ``--check`` return 1 when one is out of date."""
    pages = {DOCS / "events.md": events_page(), DOCS / "operators/metrics.md": metrics_page()}
    stale = [path for path, text in pages.items() if not path.exists() or path.read_text() != text]
    if "--check" in sys.argv:
        for path in stale:
            print(f"{path.relative_to(DOCS.parent)} is out of date; run tools/make_docs.py")
        return 1 if stale else 0
    for path in stale:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(pages[path])
    return 0


if __name__ == "__main__":
    sys.exit(main())
