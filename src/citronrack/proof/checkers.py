"""Checkers of the invariants R1 to R10 (section 2.1 of the design page)."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from ..config import ConfigSet, find_faults
from ..verdict import Verdict
from ._convergence import ConvergenceChecker
from .checker import CHECKERS, Checker
from .observations import (
    AttemptEnded,
    CallAnswered,
    CallRefused,
    CallStarted,
    ConfigAccepted,
    ConfigInForce,
    ConfigRefused,
    DrainStarted,
    MarkSeen,
    NodeStarted,
    NodeStopped,
    Reachability,
    ReadinessChanged,
    VersionTurnedBad,
    WorkOffered,
    WorkStarted,
)

DRAIN_PROPAGATION_S = 3.0  # "a few seconds" in R8
MARK_PROPAGATION_S = 5.0  # "shortly after" in R4
BAD_SHARE_LIMIT = 0.1  # "a small share" in R4, of all calls of the service
MIN_CALLS_FOR_SHARE = 200  # with fewer calls the measured share is too noisy

Handlers = dict[type[Any], Callable[[Any], None]]

__all__ = ["CHECKERS"]

CHECKERS.register("R10")(ConvergenceChecker)


@CHECKERS.register("R1")
class MonotonicVersions(Checker):
    """A node never returns to an older configuration version, not even after a restart."""

    title = "no node returns to an older version"

    def __init__(self) -> None:
        super().__init__()
        self._in_force: dict[tuple[str, int], int] = {}
        self._served: dict[str, int] = {}
        self._serving: set[tuple[str, int]] = set()

    def _handlers(self) -> Handlers:
        return {ConfigInForce: self._on_config, ReadinessChanged: self._on_readiness}

    def _on_config(self, observed: ConfigInForce) -> None:
        key, version = (observed.node, observed.boot), observed.config.version
        before = self._in_force.get(key, -1)
        self.exercised += before >= 0
        if version <= before:
            self._fail(observed.at, f"{observed.node} went from version {before} to {version}")
        self._in_force[key] = version
        if key in self._serving:
            self._served[observed.node] = max(version, self._served.get(observed.node, -1))

    def _on_readiness(self, observed: ReadinessChanged) -> None:
        if not observed.serving:
            return
        self._serving.add((observed.node, observed.boot))
        before = self._served.get(observed.node, -1)
        if observed.version < before:
            self._fail(
                observed.at,
                f"{observed.node} serves version {observed.version} after a restart, had {before}",
            )
        self._served[observed.node] = max(observed.version, before)


@CHECKERS.register("R2")
class ReferentialIntegrity(Checker):
    """No route or move refers to a service or service version missing in the configuration."""

    title = "no route refers to a missing resource"

    def _handlers(self) -> Handlers:
        return {ConfigInForce: self._on_config}

    def _on_config(self, observed: ConfigInForce) -> None:
        self.exercised += bool(observed.config.routes)
        for text in self._dangling(observed.config):
            self._fail(observed.at, f"{observed.node} at version {observed.config.version}: {text}")

    @staticmethod
    def _dangling(config: ConfigSet) -> Iterator[str]:
        known = {
            (service.name, version)
            for service in config.services.values()
            for version in service.versions
        }
        for route in config.routes.values():
            if (route.service, route.service_version) not in known:
                yield f"route {route.name!r} needs missing {route.service} {route.service_version}"
        for move in config.moves.values():
            target = config.routes.get(move.route)
            if target is None:
                yield f"move {move.move_id!r} needs missing route {move.route!r}"
                continue
            for version in (move.from_version, move.to_version):
                if (target.service, version) not in known:
                    yield f"move {move.move_id!r} needs missing {target.service} {version}"


@CHECKERS.register("R3")
class AtomicVersions(Checker):
    """Each version in force is valid and equals the version derived from the log's records.

    A replay has no access to the log's records, so that only the validity is checked there.
    """

    title = "an invalid version is never applied in part"

    def __init__(self) -> None:
        super().__init__()
        self._accepted: dict[int, ConfigSet] = {}
        self._refused: dict[int, str] = {}

    def _handlers(self) -> Handlers:
        return {
            ConfigAccepted: self._on_accepted,
            ConfigRefused: self._on_refusal,
            ConfigInForce: self._on_config,
        }

    def _on_accepted(self, observed: ConfigAccepted) -> None:
        self._accepted[observed.config.version] = observed.config

    def _on_refusal(self, observed: ConfigRefused) -> None:
        self.exercised += 1
        self._refused[observed.offset] = observed.reason

    def _on_config(self, observed: ConfigInForce) -> None:
        version = observed.config.version
        for text in find_faults(observed.config):
            self._fail(observed.at, f"{observed.node} holds an invalid version {version}: {text}")
        if not self._accepted:
            return
        if version in self._refused:
            reason = self._refused[version]
            self._fail(
                observed.at, f"{observed.node} put refused version {version} in force: {reason}"
            )
        elif version in self._accepted and observed.config != self._accepted[version]:
            self._fail(observed.at, f"{observed.node} holds different content as version {version}")
        elif version not in self._accepted:
            self._fail(
                observed.at, f"{observed.node} has version {version}, which the log does not hold"
            )


@CHECKERS.register("R4")
class BadVersionExposure(Checker):
    """A bad service version gets few calls, and none shortly after it was marked."""

    title = "a bad version gets a small share, then none"

    def __init__(self) -> None:
        super().__init__()
        self._bad_since: dict[tuple[str, str], float] = {}
        self._marked: dict[tuple[str, str], tuple[int, float]] = {}
        self._epochs: dict[tuple[str, str], int] = {}
        self._open: set[tuple[str, str]] = set()
        self._call_counts: dict[tuple[str, str], list[int]] = {}
        self._reachable_since: dict[str, float] = {}

    def _handlers(self) -> Handlers:
        return {
            ConfigAccepted: self._on_config,
            VersionTurnedBad: self._on_bad_version,
            MarkSeen: self._on_mark,
            Reachability: self._on_reachability,
            WorkStarted: self._on_work,
        }

    def _on_config(self, observed: ConfigAccepted) -> None:
        self._open = set()
        for move in observed.config.moves.values():
            key = (observed.config.routes[move.route].service, move.to_version)
            self._open.add(key)
            self._epochs[key] = max(move.epoch, self._epochs.get(key, -1))
            if key in self._bad_since:
                self._call_counts.setdefault(key, [0, 0])

    def _on_bad_version(self, observed: VersionTurnedBad) -> None:
        key = (observed.service, observed.service_version)
        self._bad_since[key] = observed.at
        if key in self._open:
            self._call_counts.setdefault(key, [0, 0])

    def _on_mark(self, observed: MarkSeen) -> None:
        key = (observed.service, observed.service_version)
        known = self._marked.get(key)
        if known is None or observed.epoch > known[0]:
            self._marked[key] = (observed.epoch, observed.at)

    def _on_reachability(self, observed: Reachability) -> None:
        if observed.reachable:
            self._reachable_since[observed.node] = observed.at
        else:
            self._reachable_since.pop(observed.node, None)

    def _on_work(self, observed: WorkStarted) -> None:
        key = (observed.service, observed.service_version)
        for counted, counts in self._call_counts.items():
            if counted[0] == observed.service:
                counts[0] += counted == key
                counts[1] += 1
                self.exercised += counted == key
        self._check_work_after_mark(observed, key)

    def _check_work_after_mark(self, observed: WorkStarted, key: tuple[str, str]) -> None:
        mark = self._marked.get(key)
        since = self._reachable_since.get(observed.target)
        if mark is None or since is None or self._epochs.get(key, -1) > mark[0]:
            return
        if observed.at > max(mark[1], since) + MARK_PROPAGATION_S:
            text = f"{observed.target} runs a call on marked {key[0]} {key[1]}"
            self._fail(observed.at, f"{text}, {observed.at - mark[1]:.1f} s after the mark")

    def finish(self, at: float) -> None:
        """Check the share of calls that each bad version got since it turned bad."""
        for (service, version), (bad, total) in self._call_counts.items():
            if total >= MIN_CALLS_FOR_SHARE and bad > BAD_SHARE_LIMIT * total:
                self._fail(at, f"bad {service} {version} ran {bad} of {total} calls")


@CHECKERS.register("R5")
class ResponseMatching(Checker):
    """A response is complete, belongs to the caller's own request and is delivered only once."""

    title = "a caller gets the complete response to its own request"

    def __init__(self) -> None:
        super().__init__()
        self._open: set[int] = set()

    def _handlers(self) -> Handlers:
        return {
            CallStarted: self._on_start,
            CallAnswered: self._on_answer,
            CallRefused: self._on_refusal,
        }

    def _on_start(self, observed: CallStarted) -> None:
        self._open.add(observed.call)

    def _on_refusal(self, observed: CallRefused) -> None:
        self._open.discard(observed.call)

    def _on_answer(self, observed: CallAnswered) -> None:
        self.exercised += 1
        if observed.answer_to != observed.call:
            self._fail(
                observed.at, f"call {observed.call} got the response to call {observed.answer_to}"
            )
        elif not observed.complete:
            self._fail(observed.at, f"call {observed.call} got an incomplete response")
        elif observed.call not in self._open:
            self._fail(observed.at, f"call {observed.call} got a second response")
        self._open.discard(observed.call)


@CHECKERS.register("R6")
class NotRunAccuracy(Checker):
    """A call reported as not run does not run, neither before nor after the report."""

    title = "a request reported as not run was not run"

    def __init__(self) -> None:
        super().__init__()
        self._ran: set[tuple[int, int]] = set()
        self._ran_calls: set[int] = set()
        self._not_run: set[tuple[int, int]] = set()
        self._not_run_calls: set[int] = set()

    def _handlers(self) -> Handlers:
        return {
            WorkStarted: self._on_work,
            AttemptEnded: self._on_attempt,
            CallRefused: self._on_refusal,
        }

    def _on_work(self, observed: WorkStarted) -> None:
        key = (observed.call, observed.attempt)
        self._ran.add(key)
        self._ran_calls.add(observed.call)
        if key in self._not_run or observed.call in self._not_run_calls:
            self._fail(observed.at, f"call {observed.call} runs after it was reported as not run")

    def _on_attempt(self, observed: AttemptEnded) -> None:
        if observed.verdict is not Verdict.NOT_RUN:
            return
        self.exercised += 1
        key = (observed.call, observed.attempt)
        self._not_run.add(key)
        if key in self._ran:
            self._fail(
                observed.at,
                f"attempt {observed.attempt} of call {observed.call} ran, reported not run",
            )

    def _on_refusal(self, observed: CallRefused) -> None:
        if observed.verdict is not Verdict.NOT_RUN:
            return
        self.exercised += 1
        self._not_run_calls.add(observed.call)
        if observed.call in self._ran_calls:
            self._fail(
                observed.at, f"call {observed.call} ran, but was reported to its caller as not run"
            )


@CHECKERS.register("R7")
class AtMostOnce(Checker):
    """A non-idempotent call runs on at most one target."""

    title = "a non-idempotent call runs at most once"

    def __init__(self) -> None:
        super().__init__()
        self._ran: dict[int, str] = {}

    def _handlers(self) -> Handlers:
        return {WorkStarted: self._on_work}

    def _on_work(self, observed: WorkStarted) -> None:
        if observed.idempotent:
            return
        self.exercised += 1
        if observed.call in self._ran:
            first = self._ran[observed.call]
            self._fail(
                observed.at,
                f"call {observed.call} runs on {observed.target}, ran on {first} before",
            )
        self._ran[observed.call] = observed.target


@CHECKERS.register("R8")
class NoNewWorkWhileDraining(Checker):
    """No call reaches a draining target later than a few seconds after its drain began."""

    title = "a draining target gets no new work"

    def __init__(self) -> None:
        super().__init__()
        self._draining_since: dict[str, float] = {}

    def _handlers(self) -> Handlers:
        return {
            DrainStarted: self._on_drain,
            NodeStopped: self._on_stop,
            NodeStarted: self._on_start,
            WorkOffered: self._on_work,
        }

    def _on_drain(self, observed: DrainStarted) -> None:
        self.exercised += 1
        self._draining_since[observed.node] = observed.at

    def _on_stop(self, observed: NodeStopped) -> None:
        self._draining_since.pop(observed.node, None)

    def _on_start(self, observed: NodeStarted) -> None:
        self._draining_since.pop(observed.node, None)

    def _on_work(self, observed: WorkOffered) -> None:
        since = self._draining_since.get(observed.target)
        if since is not None and observed.at > since + DRAIN_PROPAGATION_S:
            self._fail(
                observed.at,
                f"{observed.target} gets a call {observed.at - since:.1f} s after its drain began",
            )


@CHECKERS.register("R9")
class GracefulStops(Checker):
    """A planned stop interrupts no request in flight."""

    title = "a planned stop interrupts no request"

    def _handlers(self) -> Handlers:
        return {NodeStopped: self._on_stop}

    def _on_stop(self, observed: NodeStopped) -> None:
        if not observed.planned:
            return
        self.exercised += 1
        if observed.calls_cut:
            self._fail(
                observed.at, f"{observed.node} stopped with {observed.calls_cut} calls in flight"
            )
