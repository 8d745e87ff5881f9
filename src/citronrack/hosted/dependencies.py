"""What the core of a hosted node works with, and what it steers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from attrs import Factory, define, field, frozen

from ..calls import ViewHolder
from ..clock import Clock
from ..config import ConfigSet
from ..telemetry import EventLog
from .publish import Write
from .readers import ReaderTimings
from .rollout import Phase, RolloutOrder
from .store import KeyedRecord
from .target import OwnTargetTracker


@frozen
class OperatorTopic:
    """How the operator's records are read and answered; given by the platform's adapter.

    Attributes:
        name: Topic of the operator's records.
        config: Returns the configuration in a record, None for a record of another kind or one
            that cannot be read.
        order: Returns the rollout in a record, None for a record of another kind.
        status: Returns the write that tells the operator service, version and phase.
    """

    name: str
    config: Callable[[KeyedRecord], ConfigSet | None]
    order: Callable[[KeyedRecord], RolloutOrder | None]
    status: Callable[[str, str, Phase], Write]


@frozen
class CoreDependencies:
    """What the core works with; wired by the composition root.

    Attributes:
        clock: Source of time.
        random: Source of random numbers.
        events: Log lines.
        views: Receives the routing view.
        target: What is known of the own target.
        operator: The operator's records.
        submit: Writes a record to the store.
        retry_slack: Retries of all nodes together that no call has earned.
        timings: Times by which the nodes of a zone read the operator's topic in turn.
        boot_clock: Source of time that goes on while the instance is suspended.
    """

    clock: Clock
    random: Random
    events: EventLog
    views: ViewHolder
    target: OwnTargetTracker
    operator: OperatorTopic
    submit: Callable[[Write], None]
    retry_slack: float = 0.0
    timings: ReaderTimings = field(factory=ReaderTimings.within)
    boot_clock: Clock = field(default=Factory(lambda self: self.clock, takes_self=True))


def _ignore(_: object) -> None:
    return None


def _nothing() -> None:
    return None


@define
class CoreCallbacks:
    """Parts of the node that are made after the core and follow its decisions.

    Attributes:
        read_topics: Gets whether this node has to read the topics for its zone.
        read_nodes: Called once the own entry stands in the store.
        set_slots: Gets the number of calls that the own target runs at once.
        set_retry_burst: Gets the number of retries that this node may save up.
    """

    read_topics: Callable[[bool], None] = _ignore
    read_nodes: Callable[[], None] = _nothing
    set_slots: Callable[[int], None] = _ignore
    set_retry_burst: Callable[[float], None] = _ignore
