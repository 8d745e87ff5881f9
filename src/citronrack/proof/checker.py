"""Base class and registry of the invariant checkers."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from attrs import frozen

from ..registry import Registry
from .observations import ObservationDispatcher

MAX_STORED_VIOLATIONS = 10


class CheckState(StrEnum):
    """Result of checking an invariant in one run."""

    KEPT = "kept"
    BROKEN = "broken"
    NOT_EXERCISED = "not exercised"


@frozen
class Violation:
    """An observation that violates an invariant.

    Attributes:
        at: Simulated time in seconds.
        text: Description of what was observed.
    """

    at: float
    text: str


@frozen
class CheckResult:
    """Result of one checker for one run.

    Attributes:
        name: ``R1`` to ``R10``.
        title: Short description of the invariant.
        state: Whether the invariant held.
        exercised: Number of observations that could have violated the invariant.
        violations: The first violations, at most `MAX_STORED_VIOLATIONS`.
    """

    name: str
    title: str
    state: CheckState
    exercised: int
    violations: tuple[Violation, ...]


class Checker:
    """Checks the observations of one run against one invariant.

    Attributes:
        title: Short description of the invariant.
        exercised: Number of observations that could have violated the invariant.
    """

    title = ""

    def __init__(self) -> None:
        self.exercised = 0
        self._violations: list[Violation] = []

    def _handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        """Return a handler for each class of observations that the checker needs."""
        raise NotImplementedError

    def subscribe_to(self, dispatcher: ObservationDispatcher) -> None:
        """Register the handlers with ``dispatcher``."""
        for kind, handler in self._handlers().items():
            dispatcher.subscribe(handler, kinds=(kind,))

    def finish(self, at: float) -> None:
        """Check conditions that can only be evaluated at the end of the run."""

    def result(self, name: str) -> CheckResult:
        """Return the result of the checks made so far."""
        state = CheckState.KEPT if self.exercised else CheckState.NOT_EXERCISED
        if self._violations:
            state = CheckState.BROKEN
        return CheckResult(name, self.title, state, self.exercised, tuple(self._violations))

    def _fail(self, at: float, text: str) -> None:
        if len(self._violations) < MAX_STORED_VIOLATIONS:
            self._violations.append(Violation(round(at, 3), text))


CHECKERS: Registry[type[Checker]] = Registry("checker")
