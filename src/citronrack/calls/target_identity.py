"""Identity of the target beside a node."""

from __future__ import annotations

from attrs import frozen

from .notice import TargetProcess


@frozen
class TargetIdentity:
    """Current identity of the local target.

    Attributes:
        service: Service of the target.
        service_version: Service version that it runs.
        target_id: Id of the target's process, new after each start; empty when it has none.
        refusal: Reason to refuse calls for it, empty while it accepts them.
        started_ms: Wall time of the process's start, 0 when it is unknown.
        unproven: Whether its version is being tried out, so that its faults are its own.
        evacuated: Whether it is refused because nothing more is sent to targets of its zone.
    """

    service: str
    service_version: str
    target_id: str = ""
    refusal: str = ""
    started_ms: int = 0
    unproven: bool = False
    evacuated: bool = False

    @property
    def process(self) -> TargetProcess:
        """Identifies the process; a restarted target may keep its id."""
        return self.target_id, self.started_ms
