"""Base of the invariant checkers and their registry."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from attrs import frozen

from ..registry import Registry
from .observations import ObservationDispatcher

MAX_STORED_VIOLATIONS = 10


class CheckState(StrEnum):
    """What a run says about an invariant."""

    KEPT = "kept"
    BROKEN = "broken"
    NOT_EXERCISED = "not exercised"


@frozen
class Violation:
    """An observation that breaks an invariant.

    Attributes:
        at: Simulated seconds.
        text: What was seen.
    """

    at: float
    text: str


@frozen
class CheckResult:
    """Result of one checker for one run.

    Attributes:
        name: ``R1`` to ``R10``.
        title: The invariant in a few words.
        state: Whether it was kept.
        exercised: Number of observations that could have broken it.
        violations: The first violations.
    """

    name: str
    title: str
    state: CheckState
    exercised: int
    violations: tuple[Violation, ...]


class Checker:
    """Watches the observations of one run for violations of one invariant.

    Attributes:
        title: The invariant in a few words.
        exercised: Number of observations that could have broken it.
    """

    title = ""

    def __init__(self) -> None:
        self.exercised = 0
        self._violations: list[Violation] = []

    def _handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        """Return the handler of each watched class of observations."""
        raise NotImplementedError

    def subscribe_to(self, dispatcher: ObservationDispatcher) -> None:
        """Watch what ``dispatcher`` passes on."""
        for kind, handler in self._handlers().items():
            dispatcher.subscribe(handler, kinds=(kind,))

    def finish(self, at: float) -> None:
        """Judge what can only be judged at the end of the run."""

    def result(self, name: str) -> CheckResult:
        """Return the result so far."""
        state = CheckState.KEPT if self.exercised else CheckState.NOT_EXERCISED
        if self._violations:
            state = CheckState.BROKEN
        return CheckResult(name, self.title, state, self.exercised, tuple(self._violations))

    def _fail(self, at: float, text: str) -> None:
        if len(self._violations) < MAX_STORED_VIOLATIONS:
            self._violations.append(Violation(round(at, 3), text))


CHECKERS: Registry[type[Checker]] = Registry("checker")
