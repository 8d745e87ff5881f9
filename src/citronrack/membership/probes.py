"""Outstanding pings."""

from __future__ import annotations

from attrs import define, field

ACK_TIMEOUT_S = 0.5  # round trips in a zone take about 2 ms; the rest allows for busy nodes
PROBE_TIMEOUT_S = 1.25  # direct ping plus indirect pings
RELAYED_PING_TIMEOUT_S = 0.5


@define
class Probe:
    """A direct ping of this node and the indirect pings that follow it.

    Attributes:
        name: The pinged member.
        incarnation: Its incarnation at that time.
        sent_at: Time of the direct ping.
        helpers_asked: Number of members asked for an indirect ping, None before that.
        failed_helpers: Members whose indirect ping failed as well.
    """

    name: str
    incarnation: int
    sent_at: float
    helpers_asked: int | None = None
    failed_helpers: list[str] = field(factory=list)

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Helpers that count as witnesses.

        When most helpers do not report at all, the links of this node are the likelier cause, and
        it stays the only witness.
        """
        return (
            tuple(self.failed_helpers)
            if 2 * len(self.failed_helpers) > (self.helpers_asked or 0)
            else ()
        )


@define
class RelayedPing:
    """An indirect ping on behalf of another member.

    Attributes:
        requester: Address of the requesting member.
        sequence: Sequence number of its request.
        sent_at: Time of the ping.
    """

    requester: str
    sequence: int
    sent_at: float


class Probes:
    """Outstanding probes and relayed pings by sequence number."""

    def __init__(self) -> None:
        self._sequence = 0
        self._probes: dict[int, Probe] = {}
        self._relayed_pings: dict[int, RelayedPing] = {}

    def start(self, entry: Probe | RelayedPing) -> int:
        """Track a ping and return its sequence number."""
        self._sequence += 1
        if isinstance(entry, Probe):
            self._probes[self._sequence] = entry
        else:
            self._relayed_pings[self._sequence] = entry
        return self._sequence

    def acknowledge(self, sequence: int) -> RelayedPing | None:
        """Drop an acknowledged ping and return it if it was a relayed one."""
        self._probes.pop(sequence, None)
        return self._relayed_pings.pop(sequence, None)

    def record_helper_failure(self, sequence: int, witness: str) -> None:
        """Record that the indirect ping of ``witness`` failed."""
        probe = self._probes.get(sequence)
        if probe is not None and witness not in probe.failed_helpers:
            probe.failed_helpers.append(witness)

    def clear(self) -> None:
        """Drop all outstanding pings."""
        self._probes.clear()
        self._relayed_pings.clear()

    def need_indirect_pings(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes whose direct ping has timed out and that have no helpers yet."""
        return [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if probe.helpers_asked is None and now >= probe.sent_at + ACK_TIMEOUT_S
        ]

    def take_failed(self, now: float) -> list[Probe]:
        """Remove and return the probes that got neither a direct nor an indirect ack."""
        late = [s for s, p in self._probes.items() if now >= p.sent_at + PROBE_TIMEOUT_S]
        return [self._probes.pop(sequence) for sequence in late]

    def take_failed_relayed_pings(self, now: float) -> list[RelayedPing]:
        """Remove and return the relayed pings that have timed out."""
        late = [
            s for s, e in self._relayed_pings.items() if now >= e.sent_at + RELAYED_PING_TIMEOUT_S
        ]
        return [self._relayed_pings.pop(sequence) for sequence in late]
