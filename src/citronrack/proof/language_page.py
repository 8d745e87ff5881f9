"""Generates ``docs/scenarios.md`` from the registries when run as a module."""

from __future__ import annotations

import inspect
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs

from ..registry import Registry
from . import source as _source  # noqa: F401  (fills the registries)
from .checkers import CHECKERS
from .language import EVENT_KINDS, EXPECTATION_KINDS
from .parts import PARTS
from .schema import LinkSpec, LoadSpec, LogSpec, ScenarioHead, TargetSpec, WorldSpec

PAGE = "docs/scenarios.md"
INTRODUCTION = """# Scenarios

A scenario is a YAML file. It runs the real `NodeCore` of every node in simulated time, with fakes
of the clock, the links, the log service, the targets and the callers.

```
citronrack scenario run PATH... [--seed N] [--checks] [--trace NODE=FILE] [--format text|json]
```

The same file and seed give the same run. The exit code is 1 when an expectation fails, an invariant
is violated or a file is invalid. A scenario whose `needs` are not present in this version is
reported as skipped. `python -m citronrack.proof.language_page` generates this page; a test checks
that it is up to date.

Nodes are named `SERVICE-NUMBER`, such as `catalogue-1`, and are assigned to zones round-robin. The
routes are `lookups`, `orders`, `photos`, `stock` at `spoorhout`, and `stalls`, `bookings`, `fees`,
`bundles` at `harbor-lantern`.
"""


def _section(name: str, kind: type[Any], key: str) -> Iterator[str]:
    yield f"### {name}"
    yield ""
    yield from inspect.cleandoc(kind.__doc__ or "").replace("``", "`").splitlines()
    yield ""
    fields = [f"`{key}: {name}`"] if key else []
    for attribute in attrs.fields(kind):
        required = attribute.default is attrs.NOTHING
        fields.append(f"`{attribute.name}` (required)" if required else f"`{attribute.name}`")
    yield f"Keys: {', '.join(fields)}"
    yield ""


def _registry(title: str, registry: Registry[Any], key: str) -> Iterator[str]:
    yield f"## {title}"
    yield ""
    for name in registry:
        yield from _section(name, registry.get(name), key)


def scenarios_page() -> str:
    """Return the content of the page."""
    lines = [INTRODUCTION, "## File", ""]
    for kind in (ScenarioHead, WorldSpec, TargetSpec, LinkSpec, LogSpec, LoadSpec):
        lines.extend(_section(kind.__name__, kind, ""))
    lines.extend(_registry("Events", EVENT_KINDS, "do"))
    lines.extend(_registry("Expectations", EXPECTATION_KINDS, "that"))
    lines.extend(
        [
            "## Invariants",
            "",
            "A checker without relevant observations reports `not exercised`.",
            "",
        ]
    )
    lines.extend(f"- {name}: {CHECKERS.get(name).title}" for name in CHECKERS)
    lines.extend(["", "## Parts for `needs`", ""])
    lines.extend(f"- `{name}`: {PARTS.get(name).meaning}" for name in PARTS)
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    Path(PAGE).write_text(scenarios_page(), encoding="utf-8")
