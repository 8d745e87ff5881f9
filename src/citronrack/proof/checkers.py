"""One checker for each invariant R1 to R10 of section 2.1 of the design page."""

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

DRAIN_SPREAD_S = 3.0  # "a few seconds" of R8
MARK_SPREAD_S = 5.0  # "shortly after" of R4
BAD_SHARE_LIMIT = 0.1  # "a small share" of R4, over the calls of the service
MIN_JUDGED_CALLS = 200  # below this number a share says little

Handlers = dict[type[Any], Callable[[Any], None]]

__all__ = ["CHECKERS"]

CHECKERS.register("R10")(ConvergenceChecker)


@CHECKERS.register("R1")
class VersionOrder(Checker):
    """No node moves back to an older configuration version, not even by a restart."""

    title = "no node moves back to an older version"

    def __init__(self) -> None:
        super().__init__()
        self._in_force: dict[tuple[str, int], int] = {}
        self._served: dict[str, int] = {}
        self._serving: set[tuple[str, int]] = set()

    def _watched(self) -> Handlers:
        return {ConfigInForce: self._config, ReadinessChanged: self._readiness}

    def _config(self, seen: ConfigInForce) -> None:
        key, version = (seen.node, seen.boot), seen.config.version
        before = self._in_force.get(key, -1)
        self.exercised += before >= 0
        if version <= before:
            self._fail(seen.at, f"{seen.node} went from version {before} to {version}")
        self._in_force[key] = version
        if key in self._serving:
            self._served[seen.node] = max(version, self._served.get(seen.node, -1))

    def _readiness(self, seen: ReadinessChanged) -> None:
        if not seen.serving:
            return
        self._serving.add((seen.node, seen.boot))
        before = self._served.get(seen.node, -1)
        if seen.version < before:
            self._fail(
                seen.at, f"{seen.node} serves version {seen.version} after a restart, had {before}"
            )
        self._served[seen.node] = max(seen.version, before)


@CHECKERS.register("R2")
class ClosedReferences(Checker):
    """No route or move refers to a service or service version that the node does not have."""

    title = "no route refers to a missing resource"

    def _watched(self) -> Handlers:
        return {ConfigInForce: self._config}

    def _config(self, seen: ConfigInForce) -> None:
        self.exercised += bool(seen.config.routes)
        for text in self._dangling(seen.config):
            self._fail(seen.at, f"{seen.node} at version {seen.config.version}: {text}")

    @staticmethod
    def _dangling(config: ConfigSet) -> Iterator[str]:
        known = {
            (service.name, version)
            for service in config.services.values()
            for version in service.versions
        }
        for route in config.routes.values():
            if (route.service, route.service_version) not in known:
                yield f"route {route.name!r} needs {route.service} {route.service_version}"
        for move in config.moves.values():
            target = config.routes.get(move.route)
            if target is None:
                yield f"move {move.move_id!r} needs route {move.route!r}"
                continue
            for version in (move.from_version, move.to_version):
                if (target.service, version) not in known:
                    yield f"move {move.move_id!r} needs {target.service} {version}"


@CHECKERS.register("R3")
class WholeVersions(Checker):
    """Each version in force is valid and equals the one that the log's records lead to.

    A replay does not know the log's records; there only the validity is checked.
    """

    title = "an invalid version is never applied in part"

    def __init__(self) -> None:
        super().__init__()
        self._accepted: dict[int, ConfigSet] = {}
        self._refused: dict[int, str] = {}

    def _watched(self) -> Handlers:
        return {
            ConfigAccepted: self._accept,
            ConfigRefused: self._refuse,
            ConfigInForce: self._config,
        }

    def _accept(self, seen: ConfigAccepted) -> None:
        self._accepted[seen.config.version] = seen.config

    def _refuse(self, seen: ConfigRefused) -> None:
        self.exercised += 1
        self._refused[seen.offset] = seen.reason

    def _config(self, seen: ConfigInForce) -> None:
        version = seen.config.version
        for text in find_faults(seen.config):
            self._fail(seen.at, f"{seen.node} holds an invalid version {version}: {text}")
        if not self._accepted:
            return
        if version in self._refused:
            reason = self._refused[version]
            self._fail(seen.at, f"{seen.node} has refused version {version} in force: {reason}")
        elif version in self._accepted and seen.config != self._accepted[version]:
            self._fail(seen.at, f"{seen.node} holds another content as version {version}")
        elif version not in self._accepted:
            self._fail(seen.at, f"{seen.node} has version {version}, which the log does not hold")


@CHECKERS.register("R4")
class BadVersions(Checker):
    """A bad service version runs few calls, and none shortly after it was marked."""

    title = "a bad version gets a small share, then none"

    def __init__(self) -> None:
        super().__init__()
        self._turned: dict[tuple[str, str], float] = {}
        self._marked: dict[tuple[str, str], tuple[int, float]] = {}
        self._epochs: dict[tuple[str, str], int] = {}
        self._open: set[tuple[str, str]] = set()
        self._judged: dict[tuple[str, str], list[int]] = {}
        self._reachable_since: dict[str, float] = {}

    def _watched(self) -> Handlers:
        return {
            ConfigAccepted: self._config,
            VersionTurnedBad: self._bad,
            MarkSeen: self._mark,
            Reachability: self._reachability,
            WorkStarted: self._work,
        }

    def _config(self, seen: ConfigAccepted) -> None:
        self._open = set()
        for move in seen.config.moves.values():
            key = (seen.config.routes[move.route].service, move.to_version)
            self._open.add(key)
            self._epochs[key] = max(move.epoch, self._epochs.get(key, -1))
            if key in self._turned:
                self._judged.setdefault(key, [0, 0])

    def _bad(self, seen: VersionTurnedBad) -> None:
        key = (seen.service, seen.service_version)
        self._turned[key] = seen.at
        if key in self._open:
            self._judged.setdefault(key, [0, 0])

    def _mark(self, seen: MarkSeen) -> None:
        key = (seen.service, seen.service_version)
        known = self._marked.get(key)
        if known is None or seen.epoch > known[0]:
            self._marked[key] = (seen.epoch, seen.at)

    def _reachability(self, seen: Reachability) -> None:
        if seen.reachable:
            self._reachable_since[seen.node] = seen.at
        else:
            self._reachable_since.pop(seen.node, None)

    def _work(self, seen: WorkStarted) -> None:
        key = (seen.service, seen.service_version)
        for judged, counts in self._judged.items():
            if judged[0] == seen.service:
                counts[0] += judged == key
                counts[1] += 1
                self.exercised += judged == key
        self._work_after_mark(seen, key)

    def _work_after_mark(self, seen: WorkStarted, key: tuple[str, str]) -> None:
        mark = self._marked.get(key)
        since = self._reachable_since.get(seen.target)
        if mark is None or since is None or self._epochs.get(key, -1) > mark[0]:
            return
        if seen.at > max(mark[1], since) + MARK_SPREAD_S:
            text = f"{seen.target} runs a call of marked {key[0]} {key[1]}"
            self._fail(seen.at, f"{text}, {seen.at - mark[1]:.1f} s after the mark")

    def finish(self, at: float) -> None:
        """Compare the share of all calls since the version turned bad."""
        for (service, version), (bad, total) in self._judged.items():
            if total >= MIN_JUDGED_CALLS and bad > BAD_SHARE_LIMIT * total:
                self._fail(at, f"bad {service} {version} ran {bad} of {total} calls")


@CHECKERS.register("R5")
class OwnAnswers(Checker):
    """An answer is complete, belongs to the caller's own request and comes once."""

    title = "a caller gets the whole answer to its own request"

    def __init__(self) -> None:
        super().__init__()
        self._open: set[int] = set()

    def _watched(self) -> Handlers:
        return {CallStarted: self._start, CallAnswered: self._answer, CallRefused: self._refuse}

    def _start(self, seen: CallStarted) -> None:
        self._open.add(seen.call)

    def _refuse(self, seen: CallRefused) -> None:
        self._open.discard(seen.call)

    def _answer(self, seen: CallAnswered) -> None:
        self.exercised += 1
        if seen.answer_to != seen.call:
            self._fail(seen.at, f"call {seen.call} got the answer to call {seen.answer_to}")
        elif not seen.complete:
            self._fail(seen.at, f"call {seen.call} got a part of its answer")
        elif seen.call not in self._open:
            self._fail(seen.at, f"call {seen.call} got a second answer")
        self._open.discard(seen.call)


@CHECKERS.register("R6")
class HonestRefusals(Checker):
    """What is reported as not run was not run, neither before nor after the report."""

    title = "a request reported as not run was not run"

    def __init__(self) -> None:
        super().__init__()
        self._ran: set[tuple[int, int]] = set()
        self._ran_calls: set[int] = set()
        self._not_run: set[tuple[int, int]] = set()
        self._not_run_calls: set[int] = set()

    def _watched(self) -> Handlers:
        return {
            WorkStarted: self._work,
            AttemptEnded: self._attempt,
            CallRefused: self._refused,
        }

    def _work(self, seen: WorkStarted) -> None:
        key = (seen.call, seen.attempt)
        self._ran.add(key)
        self._ran_calls.add(seen.call)
        if key in self._not_run or seen.call in self._not_run_calls:
            self._fail(seen.at, f"call {seen.call} runs after it was reported as not run")

    def _attempt(self, seen: AttemptEnded) -> None:
        if seen.verdict is not Verdict.NOT_RUN:
            return
        self.exercised += 1
        key = (seen.call, seen.attempt)
        self._not_run.add(key)
        if key in self._ran:
            self._fail(seen.at, f"attempt {seen.attempt} of call {seen.call} ran, reported not run")

    def _refused(self, seen: CallRefused) -> None:
        if seen.verdict is not Verdict.NOT_RUN:
            return
        self.exercised += 1
        self._not_run_calls.add(seen.call)
        if seen.call in self._ran_calls:
            self._fail(seen.at, f"call {seen.call} ran, but its caller was told that it did not")


@CHECKERS.register("R7")
class AtMostOnce(Checker):
    """A non-idempotent call starts at one target at most."""

    title = "a non-idempotent call runs at most once"

    def __init__(self) -> None:
        super().__init__()
        self._ran: dict[int, str] = {}

    def _watched(self) -> Handlers:
        return {WorkStarted: self._work}

    def _work(self, seen: WorkStarted) -> None:
        if seen.idempotent:
            return
        self.exercised += 1
        if seen.call in self._ran:
            first = self._ran[seen.call]
            self._fail(seen.at, f"call {seen.call} runs at {seen.target}, ran at {first} before")
        self._ran[seen.call] = seen.target


@CHECKERS.register("R8")
class NoWorkWhenLeaving(Checker):
    """No call reaches a leaving target a few seconds after its drain began."""

    title = "a leaving target gets no new work"

    def __init__(self) -> None:
        super().__init__()
        self._leaving: dict[str, float] = {}

    def _watched(self) -> Handlers:
        return {
            DrainStarted: self._drain,
            NodeStopped: self._stop,
            NodeStarted: self._start,
            WorkOffered: self._work,
        }

    def _drain(self, seen: DrainStarted) -> None:
        self.exercised += 1
        self._leaving[seen.node] = seen.at

    def _stop(self, seen: NodeStopped) -> None:
        self._leaving.pop(seen.node, None)

    def _start(self, seen: NodeStarted) -> None:
        self._leaving.pop(seen.node, None)

    def _work(self, seen: WorkOffered) -> None:
        since = self._leaving.get(seen.target)
        if since is not None and seen.at > since + DRAIN_SPREAD_S:
            self._fail(seen.at, f"{seen.target} gets work {seen.at - since:.1f} s into its drain")


@CHECKERS.register("R9")
class GracefulStops(Checker):
    """A planned stop leaves no request in flight."""

    title = "a planned stop cuts off no request"

    def _watched(self) -> Handlers:
        return {NodeStopped: self._stop}

    def _stop(self, seen: NodeStopped) -> None:
        if not seen.planned:
            return
        self.exercised += 1
        if seen.calls_cut:
            self._fail(seen.at, f"{seen.node} stopped with {seen.calls_cut} calls in flight")
