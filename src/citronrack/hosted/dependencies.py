"""Dependencies of the core of a hosted node, and the callbacks that it invokes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from attrs import Factory, define, field, frozen

from ..calls import ViewHolder
from ..calls.suspects import Suspects
from ..clock import Clock
from ..config import ConfigSet, KeyDigester
from ..telemetry import EventLog
from .allotments import Allotments
from .evacuation import EvacuationOrder
from .publish import Write
from .readers import ReaderTimings
from .record_audit import RecordFault
from .rollout_record import RolloutOrder
from .store import KeyedRecord
from .target import OwnTargetTracker
from .trust import ConfigTrust


@frozen
class OperatorTopic:
    """Codec of the operator's records; provided by the platform's adapter.

    Attributes:
        name: Topic of the operator's records.
        config: Returns the configuration in a record, None for a record of another kind or one
            that cannot be decoded.
        order: Returns the rollout order in a record, None for a record of another kind.
        status: Returns the write that reports the stored phase of a service's rollout to the
            operator.
        evacuation: Returns what a record asks of a zone, None for a record of another kind or one
            that cannot be decoded.
        fault: Returns why a record is refused, None if it is valid or the reason is not known.
        digester: Computes the digests of the keys in decoded configurations.
    """

    name: str
    config: Callable[[KeyedRecord], ConfigSet | None]
    order: Callable[[KeyedRecord], RolloutOrder | None]
    status: Callable[[str], Write]
    evacuation: Callable[[KeyedRecord], EvacuationOrder | None]
    fault: Callable[[KeyedRecord], RecordFault | None] = lambda record: None
    digester: KeyDigester = field(factory=KeyDigester)


@frozen
class CoreDependencies:
    """Collaborators of the core, created by the composition root.

    Attributes:
        clock: Source of time.
        random: Source of random numbers.
        events: Event log.
        views: Receives the routing view.
        target: Tracks the state of the local target.
        operator: Codec of the operator's records.
        submit: Writes a record to the store.
        retry_slack: Retries of all nodes together that are allowed beyond the retry ratio.
        timings: Timeouts of the reader role.
        boot_clock: Clock that keeps running while the instance is suspended.
        seeds: Addresses of nodes that are asked after the start; they may be stale.
        suspects: Requests that may have ended their targets.
        allotments: Tokens of workspaces at this node.
        allotment_slack: Requests in a window that the platform tolerates beyond each limit.
        trust: Tracks how recently the configuration was known to be the newest.
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
    seeds: tuple[str, ...] = ()
    suspects: Suspects = field(
        default=Factory(lambda self: Suspects(self.clock, self.events), takes_self=True)
    )
    allotments: Allotments = field(
        default=Factory(
            lambda self: Allotments(slack=0.0, clock=self.boot_clock, post=lambda mail: None),
            takes_self=True,
        )
    )
    allotment_slack: float = 0.0
    trust: ConfigTrust = field(
        default=Factory(lambda self: ConfigTrust(self.boot_clock), takes_self=True)
    )


def _ignore(_: object) -> None:
    return None


def _nothing() -> None:
    return None


@define
class CoreCallbacks:
    """Callbacks into parts of the node that are created after the core.

    Attributes:
        read_topics: Called with whether this node has to read the topics for its zone.
        read_nodes: Called when this node's entry has been stored, to read the mesh topic.
        reread_operator: Called to read the whole operator topic, once a return of the store from a
            copy has settled.
        set_slots: Called with the number of calls that the local target runs concurrently.
        set_retry_burst: Called with the number of retries that this node may accumulate.
        set_cold_rate: Called with the calls a second that the local target gets because it is cold,
            None while it is warm.
    """

    read_topics: Callable[[bool], None] = _ignore
    read_nodes: Callable[[], None] = _nothing
    reread_operator: Callable[[], None] = _nothing
    set_slots: Callable[[int], None] = _ignore
    set_retry_burst: Callable[[float], None] = _ignore
    set_cold_rate: Callable[[float | None], None] = _ignore
