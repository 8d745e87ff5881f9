"""Makes the core of a node from plain options, for scenarios, replays and fuzzing."""

from __future__ import annotations

import inspect
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import field, frozen

from ..calls import ViewHolder
from ..clock import Clock
from ..membership import Member
from ..node.core import NodeCore
from ..node.cores import compose_core
from ..telemetry import Event, EventLog, Metrics


class NullEventLog(EventLog):
    """Drops log lines; scenarios and replays observe state instead."""

    def write(self, event: Event, **fields: Any) -> None:
        """Drop the line."""


@frozen
class CoreOptions:
    """Options of `compose_core` that a trace can hold.

    Attributes:
        seeds: Addresses of nodes of the own zone.
        remote_seeds: Addresses of nodes by other zone.
        profile: Default policy for moves.
        link_one_way_ms: Delay of a link to another zone.
        boot: Name of the process, unique among the processes of the node.
    """

    seeds: tuple[str, ...] = ()
    remote_seeds: dict[str, tuple[str, ...]] = field(factory=dict)
    profile: str = "spoorhout"
    link_one_way_ms: float = 4.0
    boot: str = "1"


def make_core(
    *,
    own: Member,
    options: CoreOptions,
    clock: Clock,
    random: Random,
    views: ViewHolder,
    append: Callable[[Any], None],
    append_snapshot: Callable[[bytes], None],
    own_load: Callable[[], int],
) -> NodeCore:
    """Return a core; passes on those options that `compose_core` takes.

    Args:
        own: Description of the node.
        options: Plain options.
        clock: Source of time.
        random: Source of random numbers.
        views: Receives the routing view.
        append: Queues a record body.
        append_snapshot: Queues a snapshot.
        own_load: Returns the number of calls at the own target.
    """
    offered: dict[str, Any] = {
        "own": own,
        "seeds": options.seeds,
        "remote_seeds": options.remote_seeds,
        "clock": clock,
        "random": random,
        "events": NullEventLog(node=own.name, level="error"),
        "metrics": Metrics(None, prefix=""),
        "views": views,
        "append": append,
        "append_snapshot": append_snapshot,
        "own_load": own_load,
        "writer": f"{own.name}/{options.boot}",
        "profile": options.profile,
        "link_one_way_ms": options.link_one_way_ms,
    }
    wanted = inspect.signature(compose_core).parameters
    return compose_core(**{name: value for name, value in offered.items() if name in wanted})
