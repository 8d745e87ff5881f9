"""Observes a new service version at the local target and stops its calls if it fails."""

from __future__ import annotations

from attrs import evolve

from ..calls import CallRecord
from ..calls.target_identity import TargetIdentity
from ..clock import Clock
from ..telemetry import Event, EventLog
from .entry import NodeEntry
from .evidence import Evidence, EvidenceCounter
from .rollout import RolloutCore

EVIDENCE_INTERVAL_S = 0.5
"""Interval at which evidence is sent to the holder of a rollout; a bad version must be detected
within 5 s."""

FAILS_HERE = "the new service version fails at this target"
VERSION_ROLLED_BACK = "the service version was taken back"


class LocalCanary:
    """Counts calls at the local target during a rollout and stops a version that fails there.

    Args:
        rollouts: The rollouts.
        clock: Source of time.
        events: Event log.
    """

    def __init__(self, rollouts: RolloutCore, *, clock: Clock, events: EventLog) -> None:
        self._rollouts = rollouts
        self._clock = clock
        self._events = events
        self._counter = EvidenceCounter()
        self._stopped = False
        self._next_evidence_at = 0.0

    def restrict(self, identity: TargetIdentity) -> TargetIdentity:
        """Return the identity with what the rollouts say of its version."""
        if identity.refusal:
            return identity
        if self._rollouts.is_withdrawn(identity.service, identity.service_version):
            return evolve(identity, refusal=VERSION_ROLLED_BACK)
        if self._stopped:
            return evolve(identity, refusal=FAILS_HERE)
        order = self._rollouts.running(identity.service)
        tried_out = order is not None and order.target_version == identity.service_version
        return evolve(identity, unproven=True) if tried_out else identity

    def reset(self) -> None:
        """Allow calls again after a restart of the target or a new or finished order."""
        self._stopped = False

    def observe(self, record: CallRecord, *, version: str, cold: bool) -> bool:
        """Count a call; return whether it caused the version to be stopped.

        Args:
            record: The call.
            version: Current version of the local target.
            cold: Whether the target is slow because it has just started.
        """
        order = self._rollouts.running(record.service)
        if order is None or not record.delivered_here:
            return False
        self._counter.begin(order.order_id, version)
        elapsed_s = self._rollouts.elapsed_s(record.service)
        self._counter.observe(record, elapsed_s=elapsed_s, cold=cold)
        candidate = record.service_version == order.target_version
        if not candidate or self._stopped or not self._counter.failing:
            return False
        self._stopped = True
        self._events.write(
            Event.VERSION_FAILS_HERE,
            service=record.service,
            target_version=record.service_version,
        )
        return True

    def on_dependency_failed(self, service: str) -> None:
        """Handle that a call to another service has failed, which the local target may need.

        Args:
            service: Service of the local target.
        """
        if self._rollouts.running(service) is not None:
            self._counter.on_dependency_failed(self._rollouts.elapsed_s(service))

    def evidence(self, own: NodeEntry) -> tuple[str, Evidence] | None:
        """Return the holder of the rollout and the evidence for it, None when none is due."""
        now = self._clock.monotonic()
        order = self._rollouts.running(own.service)
        if now < self._next_evidence_at or order is None:
            return None
        self._next_evidence_at = now + EVIDENCE_INTERVAL_S
        self._counter.begin(order.order_id, own.service_version)
        node = f"{own.name}/{own.boot}"
        evidence = self._counter.evidence(
            service=own.service, node=node, availability_zone=own.availability_zone
        )
        return self._rollouts.holder(own.service), evidence
