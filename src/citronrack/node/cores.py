"""Wires the pure cores of a node; used by the composition root and by scenarios."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from ..calls import ViewHolder
from ..clock import Clock
from ..distribution import DistributionCore
from ..log import LogFold
from ..membership import FailureDetector, Member, MemberTable, ZoneDirectory
from ..telemetry import EventLog, Metrics
from .core import CoreParts, NodeCore
from .duties import Duties
from .move_runner import MoveRunner


def compose_core(
    *,
    own: Member,
    seeds: Sequence[str],
    remote_seeds: Mapping[str, Sequence[str]],
    clock: Clock,
    random: Random,
    events: EventLog,
    metrics: Metrics,
    views: ViewHolder,
    own_load: Callable[[], int],
    writer: str,
    append: Callable[[Any], None],
    append_snapshot: Callable[[bytes], None],
) -> NodeCore:
    """Return the decisions of a node with all their cores.

    Args:
        own: Description of the node.
        seeds: Addresses of nodes of the own zone, ``tcp://ip:port``.
        remote_seeds: Addresses of nodes of other zones by zone.
        clock: Source of time.
        random: Source of random numbers.
        events: Where log events go.
        metrics: Where metrics go.
        views: Receives the routing view.
        own_load: Returns the number of calls in flight or waiting at the own target.
        writer: ``node name/boot id`` of this process.
        append: Queues a record body for the log; the result comes back as `AppendDone`.
        append_snapshot: Queues a snapshot; the result comes back as `SnapshotDone`.
    """
    table = MemberTable(own)
    duties = Duties(
        writer=writer,
        clock=clock,
        random=random,
        events=events,
        append=append,
        append_snapshot=append_snapshot,
    )
    parts = CoreParts(
        clock=clock,
        events=events,
        metrics=metrics,
        table=table,
        views=views,
        own_load=own_load,
        duties=duties,
    )
    core = NodeCore(parts, fold=LogFold())
    parts.distribution = DistributionCore(
        own=own.name,
        clock=clock,
        random=random,
        members=table.members,
        fold=core,
        deliver=core.deliver,
        relays=lambda: parts.directory.relay_addresses(),
        make_snapshot=core.make_snapshot,
        load_snapshot=core.load_snapshot,
    )
    parts.detector = FailureDetector(
        table=table,
        clock=clock,
        random=random,
        seeds=seeds,
        observer=parts.distribution,
        changed=core.core_events.member_changed,
    )
    parts.directory = ZoneDirectory(
        table=table,
        clock=clock,
        random=random,
        seeds=remote_seeds,
        observer=parts.distribution,
        own_progress=parts.distribution.own_zone_progress,
    )
    parts.move_runner = MoveRunner(
        table=table,
        directory=parts.directory,
        distribution=parts.distribution,
        duties=duties,
        clock=clock,
        events=events,
        boot_id=writer.rpartition("/")[2],
        append=append,
    )
    return core
