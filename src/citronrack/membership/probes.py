"""Pings that wait for an answer."""

from __future__ import annotations

from attrs import define, field

ACK_TIMEOUT_S = 0.5  # round trips inside a zone take about 2 ms; the rest is for busy nodes
PROBE_TIMEOUT_S = 1.25  # direct ping plus indirect pings
RELAYED_PING_TIMEOUT_S = 0.5


@define
class Probe:
    """One direct ping of this node and the indirect ones that follow it.

    Attributes:
        name: The member that should answer.
        incarnation: Its incarnation when it was pinged.
        sent_at: Time of the direct ping.
        asked: Number of members that were asked to ping it, None before that.
        failed_helpers: Members that got no answer from it either.
    """

    name: str
    incarnation: int
    sent_at: float
    helpers_asked: int | None = None
    failed_helpers: list[str] = field(factory=list)

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Members whose report counts.

        When most of those that were asked do not report at all, the links of this node itself are
        the likelier cause, and it stays the only witness.
        """
        return (
            tuple(self.failed_helpers)
            if 2 * len(self.failed_helpers) > (self.helpers_asked or 0)
            else ()
        )


@define
class RelayedPing:
    """A ping on behalf of another member.

    Attributes:
        requester: Address of the member that asked.
        sequence: Number of its request.
        sent_at: Time of the ping.
    """

    requester: str
    sequence: int
    sent_at: float


class Probes:
    """Outstanding probes and errands by sequence number."""

    def __init__(self) -> None:
        self._sequence = 0
        self._probes: dict[int, Probe] = {}
        self._relayed_pings: dict[int, RelayedPing] = {}

    def start(self, entry: Probe | RelayedPing) -> int:
        """Remember a ping and return its sequence number."""
        self._sequence += 1
        if isinstance(entry, Probe):
            self._probes[self._sequence] = entry
        else:
            self._relayed_pings[self._sequence] = entry
        return self._sequence

    def acknowledge(self, sequence: int) -> RelayedPing | None:
        """Forget the ping that was answered; returns the errand that it belonged to, if any."""
        self._probes.pop(sequence, None)
        return self._relayed_pings.pop(sequence, None)

    def record_helper_failure(self, sequence: int, witness: str) -> None:
        """Note that another member got no answer either."""
        probe = self._probes.get(sequence)
        if probe is not None and witness not in probe.failed_helpers:
            probe.failed_helpers.append(witness)

    def clear(self) -> None:
        """Drop everything, because this node itself did not run."""
        self._probes.clear()
        self._relayed_pings.clear()

    def need_indirect_pings(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes for which other members should be asked now."""
        return [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if probe.helpers_asked is None and now >= probe.sent_at + ACK_TIMEOUT_S
        ]

    def take_failed(self, now: float) -> list[Probe]:
        """Remove and return the probes without any answer."""
        late = [s for s, p in self._probes.items() if now >= p.sent_at + PROBE_TIMEOUT_S]
        return [self._probes.pop(sequence) for sequence in late]

    def take_failed_relayed_pings(self, now: float) -> list[RelayedPing]:
        """Remove and return the errands without an answer."""
        late = [
            s for s, e in self._relayed_pings.items() if now >= e.sent_at + RELAYED_PING_TIMEOUT_S
        ]
        return [self._relayed_pings.pop(sequence) for sequence in late]
