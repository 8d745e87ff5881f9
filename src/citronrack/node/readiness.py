"""Decides whether this node may serve calls."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

from attrs import frozen

LOG_FAILURE_GRACE_S = 3.0


class Readiness(StrEnum):
    """How sure this node is that its configuration is current."""

    NOT_READY = "not ready"
    READY = "ready"
    READY_UNPROVEN = "ready (unproven)"


@frozen
class ReadinessInputs:
    """What the decision rests on.

    Attributes:
        offset: Next offset that this node folds.
        version: Configuration version in force, -1 for none.
        log_end: End of the log when it was last read, None if it was never read.
        log_failing_s: Seconds since reads began to fail, 0 while they succeed.
        peer_offsets: Next offset by name of each live peer; None for a peer not yet heard.
    """

    offset: int
    version: int
    log_end: int | None
    log_failing_s: float
    peer_offsets: Mapping[str, int | None]


class ReadinessGate:
    """Opens once and stays open: a node that became ready never holds less than it did then."""

    def __init__(self) -> None:
        self._state = Readiness.NOT_READY
        self._reason = "the node has just started"

    @property
    def state(self) -> Readiness:
        """The present state."""
        return self._state

    @property
    def reason(self) -> str:
        """Why the node is not ready or not proven, empty when it is ready."""
        return self._reason

    def update(self, inputs: ReadinessInputs) -> Readiness:
        """Take new inputs into account and return the state."""
        if self._state is Readiness.READY:
            return self._state
        if inputs.log_end is not None and inputs.offset >= inputs.log_end:
            if inputs.version < 0:
                self._reason = "the log holds no configuration"
                return self._state
            self._state, self._reason = Readiness.READY, ""
            return self._state
        if self._state is Readiness.NOT_READY:
            self._reason = self._blocked_by(inputs)
            if not self._reason:
                self._state = Readiness.READY_UNPROVEN
                self._reason = "the log cannot be read; the version is the newest that peers hold"
        return self._state

    @staticmethod
    def _blocked_by(inputs: ReadinessInputs) -> str:
        if inputs.log_end is not None:
            return f"at offset {inputs.offset} of {inputs.log_end}"
        if inputs.log_failing_s < LOG_FAILURE_GRACE_S:
            return "the log has not been read yet"
        if not inputs.peer_offsets:
            return "the log cannot be read and no peer answers"
        offsets = [offset for offset in inputs.peer_offsets.values() if offset is not None]
        if len(offsets) < len(inputs.peer_offsets):
            missing = len(inputs.peer_offsets) - len(offsets)
            return f"the log cannot be read and {missing} peers have not answered"
        if inputs.offset < max(offsets):
            return f"at offset {inputs.offset}, a peer is at {max(offsets)}"
        if inputs.version < 0:
            return "no peer holds a configuration"
        return ""
