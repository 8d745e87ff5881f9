"""Creates the core of a node from plain options, for scenarios, replays and fuzzing."""

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
    """Event log that discards all events; scenarios and replays observe the state instead."""

    def write(self, event: Event, **fields: Any) -> None:
        """Discard the event."""


@frozen
class CoreOptions:
    """Options of `compose_core` that can be stored in a trace.

    Attributes:
        seeds: Addresses of seed nodes in the own zone.
        remote_seeds: Addresses of seed nodes in other zones, by zone.
        profile: Default policy for moves.
        link_one_way_ms: One-way delay of a link to another zone in milliseconds.
        boot: Id of the process, unique among the processes of the node.
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
    """Create a core, passing only the options that `compose_core` accepts.

    Args:
        own: Member entry of the node.
        options: Plain options.
        clock: Source of time.
        random: Source of random numbers.
        views: Receives the routing view.
        append: Queues the body of a record for appending.
        append_snapshot: Queues a snapshot for appending.
        own_load: Returns the number of calls in flight at the node's own target.
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
