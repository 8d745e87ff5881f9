"""What the checkers and expectations see of a run; ``at`` is always simulated seconds."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from attrs import define, field, frozen

from ..config import ConfigSet
from ..verdict import Verdict

T = TypeVar("T")


@frozen
class Observation:
    """Something that happened at ``at``."""

    at: float


@frozen
class NodeStarted(Observation):
    """A node's process has started without state."""

    node: str
    availability_zone: str
    boot: int


@frozen
class NodeStopped(Observation):
    """A node's process has ended; ``calls_cut`` requests were still in flight."""

    node: str
    planned: bool
    calls_cut: int


@frozen
class DrainStarted(Observation):
    """A target is leaving."""

    node: str


@frozen
class Reachability(Observation):
    """Whether a node runs and has a path to the platform, directly or through other zones."""

    node: str
    reachable: bool


@frozen
class LogState(Observation):
    """Whether the platform's log answers."""

    up: bool


@frozen
class ConfigAccepted(Observation):
    """The log holds a record that makes ``config`` the version in force."""

    config: ConfigSet


@frozen
class ConfigRefused(Observation):
    """The log holds a confirmation that must not take effect."""

    offset: int
    reason: str


@frozen
class ConfigInForce(Observation):
    """A node has put ``config`` in force."""

    node: str
    boot: int
    config: ConfigSet


@frozen
class ReadinessChanged(Observation):
    """A node's readiness has changed; ``serving`` tells whether it answers calls."""

    node: str
    boot: int
    state: str
    serving: bool
    version: int


@frozen
class ShareGiven(Observation):
    """A node gives ``share`` of_kind a route's calls to ``service_version``."""

    node: str
    route: str
    service: str
    service_version: str
    share: float


@frozen
class VersionTurnedBad(Observation):
    """From now on the service version is bad; known to the scenario, not to the nodes."""

    service: str
    service_version: str


@frozen
class MarkSeen(Observation):
    """A node holds a mark against the service version for the first time."""

    node: str
    service: str
    service_version: str
    epoch: int


@frozen
class CallStarted(Observation):
    """A caller has sent a call."""

    call: int
    route: str
    idempotent: bool


@frozen
class WorkOffered(Observation):
    """A call has reached the node beside a target."""

    call: int
    target: str


@frozen
class WorkStarted(Observation):
    """A target has begun to run an attempt of a call."""

    call: int
    attempt: int
    target: str
    route: str
    service: str
    service_version: str
    idempotent: bool


@frozen
class AttemptEnded(Observation):
    """An attempt is over for the caller's side."""

    call: int
    attempt: int
    verdict: Verdict


@frozen
class CallAnswered(Observation):
    """A caller got an answer that the target made for call ``answer_to``."""

    call: int
    answer_to: int
    complete: bool
    status: int


@frozen
class CallRefused(Observation):
    """A caller got no answer of a target; ``verdict`` is what it was told."""

    call: int
    verdict: Verdict


@frozen
class Moment(Observation):
    """A second has passed."""


Handler = Callable[[Any], None]


class ObservationDispatcher:
    """Passes each observation to those who watch its class."""

    def __init__(self) -> None:
        self._subscriptions: list[tuple[Handler, frozenset[type[Any]] | None]] = []
        self._by_class: dict[type[Any], tuple[Handler, ...]] = {}

    def subscribe(self, handler: Handler, *, kinds: Iterable[type[Any]] | None = None) -> None:
        """Pass on observations of ``kinds``, or all of them for None."""
        self._subscriptions.append((handler, None if kinds is None else frozenset(kinds)))
        self._by_class.clear()

    def __call__(self, observation: Observation) -> None:
        """Pass ``observation`` on."""
        kind = type(observation)
        handlers = self._by_class.get(kind)
        if handlers is None:
            handlers = self._by_class[kind] = tuple(
                handler for handler, kinds in self._subscriptions if kinds is None or kind in kinds
            )
        for handler in handlers:
            handler(observation)


@define
class ObservationStore:
    """Keeps observations by class for expectations."""

    _by_class: dict[type[Any], list[Any]] = field(factory=dict)

    def observe(self, observation: Observation) -> None:
        """Keep ``observation``."""
        self._by_class.setdefault(type(observation), []).append(observation)

    def of_kind(self, kind: type[T]) -> list[T]:
        """Return all observations of ``kind``, oldest first."""
        return self._by_class.get(kind, [])
