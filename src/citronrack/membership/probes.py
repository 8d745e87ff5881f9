"""Pings that wait for an answer."""

from __future__ import annotations

from attrs import define, field

ACK_TIMEOUT_S = 0.5  # round trips inside a zone take about 2 ms; the rest is for busy nodes
PROBE_TIMEOUT_S = 1.25  # direct ping plus indirect pings
HELP_TIMEOUT_S = 0.5


@define
class Probe:
    """One direct ping of this node and the indirect ones that follow it.

    Attributes:
        name: The member that should answer.
        incarnation: Its incarnation when it was pinged.
        sent_at: Time of the direct ping.
        asked: Whether other members were asked to ping it.
        silent_for: Members that got no answer from it either.
    """

    name: str
    incarnation: int
    sent_at: float
    asked: bool = False
    silent_for: list[str] = field(factory=list)


@define
class Errand:
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
        self._errands: dict[int, Errand] = {}

    def start(self, entry: Probe | Errand) -> int:
        """Remember a ping and return its sequence number."""
        self._sequence += 1
        if isinstance(entry, Probe):
            self._probes[self._sequence] = entry
        else:
            self._errands[self._sequence] = entry
        return self._sequence

    def answered(self, sequence: int) -> Errand | None:
        """Forget the ping that was answered; returns the errand that it belonged to, if any."""
        self._probes.pop(sequence, None)
        return self._errands.pop(sequence, None)

    def silence_reported(self, sequence: int, witness: str) -> None:
        """Note that another member got no answer either."""
        probe = self._probes.get(sequence)
        if probe is not None and witness not in probe.silent_for:
            probe.silent_for.append(witness)

    def forget_all(self) -> None:
        """Drop everything, because this node itself did not run."""
        self._probes.clear()
        self._errands.clear()

    def to_ask(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes for which other members should be asked now."""
        late = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if not probe.asked and now >= probe.sent_at + ACK_TIMEOUT_S
        ]
        for _, probe in late:
            probe.asked = True
        return late

    def take_failed(self, now: float) -> list[Probe]:
        """Remove and return the probes without any answer."""
        late = [s for s, p in self._probes.items() if now >= p.sent_at + PROBE_TIMEOUT_S]
        return [self._probes.pop(sequence) for sequence in late]

    def take_failed_errands(self, now: float) -> list[Errand]:
        """Remove and return the errands without an answer."""
        late = [s for s, e in self._errands.items() if now >= e.sent_at + HELP_TIMEOUT_S]
        return [self._errands.pop(sequence) for sequence in late]
