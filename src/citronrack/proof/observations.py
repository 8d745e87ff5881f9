"""Observations of a run, the input of checkers and expectations."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from attrs import define, field, frozen

from ..config import ConfigSet
from ..verdict import Verdict

T = TypeVar("T")


@frozen
class Observation:
    """Base of all observations; ``at`` is the simulated time in seconds."""

    at: float


@frozen
class NodeStarted(Observation):
    """A node process has started without state."""

    node: str
    availability_zone: str
    boot: int


@frozen
class NodeStopped(Observation):
    """A node process has ended while ``calls_cut`` requests were in flight."""

    node: str
    planned: bool
    calls_cut: int


@frozen
class DrainStarted(Observation):
    """The drain of a target has begun."""

    node: str


@frozen
class Reachability(Observation):
    """Whether a node is running and has a path to the platform, directly or through other zones."""

    node: str
    reachable: bool


@frozen
class LogState(Observation):
    """Whether the platform's log is available."""

    up: bool


@frozen
class ConfigAccepted(Observation):
    """A record in the log makes ``config`` the version in force."""

    config: ConfigSet


@frozen
class ConfigRefused(Observation):
    """A confirmation in the log must not take effect."""

    offset: int
    reason: str


@frozen
class ConfigInForce(Observation):
    """A node has activated ``config``."""

    node: str
    boot: int
    config: ConfigSet


@frozen
class ReadinessChanged(Observation):
    """The readiness of a node has changed; ``serving`` is whether it accepts calls."""

    node: str
    boot: int
    state: str
    serving: bool
    version: int


@frozen
class ShareGiven(Observation):
    """A node routes ``share`` of a route's calls to ``service_version``."""

    node: str
    route: str
    service: str
    service_version: str
    share: float


@frozen
class VersionTurnedBad(Observation):
    """A service version is bad from now on; the nodes are not informed."""

    service: str
    service_version: str


@frozen
class MarkSeen(Observation):
    """A node has received a mark against a service version for the first time."""

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
    """A call has arrived at the node beside a target."""

    call: int
    target: str


@frozen
class WorkStarted(Observation):
    """A target has started to run an attempt of a call."""

    call: int
    attempt: int
    target: str
    route: str
    service: str
    service_version: str
    idempotent: bool


@frozen
class AttemptEnded(Observation):
    """The caller's node has finished an attempt."""

    call: int
    attempt: int
    verdict: Verdict


@frozen
class CallAnswered(Observation):
    """A caller got a response; the target produced it for call ``answer_to``."""

    call: int
    answer_to: int
    complete: bool
    status: int


@frozen
class CallRefused(Observation):
    """A caller got no response from a target; ``verdict`` is what was reported to it."""

    call: int
    verdict: Verdict


@frozen
class Moment(Observation):
    """One second of simulated time has passed."""


Handler = Callable[[Any], None]


class ObservationDispatcher:
    """Passes each observation to the handlers that subscribed to its class."""

    def __init__(self) -> None:
        self._subscriptions: list[tuple[Handler, frozenset[type[Any]] | None]] = []
        self._by_class: dict[type[Any], tuple[Handler, ...]] = {}

    def subscribe(self, handler: Handler, *, kinds: Iterable[type[Any]] | None = None) -> None:
        """Call ``handler`` for observations of ``kinds``, or for all when None."""
        self._subscriptions.append((handler, None if kinds is None else frozenset(kinds)))
        self._by_class.clear()

    def __call__(self, observation: Observation) -> None:
        """Pass ``observation`` to its subscribers."""
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
    """Stores observations by class for expectations."""

    _by_class: dict[type[Any], list[Any]] = field(factory=dict)

    def observe(self, observation: Observation) -> None:
        """Store ``observation``."""
        self._by_class.setdefault(type(observation), []).append(observation)

    def of_kind(self, kind: type[T]) -> list[T]:
        """Return all observations of ``kind``, oldest first."""
        return self._by_class.get(kind, [])
