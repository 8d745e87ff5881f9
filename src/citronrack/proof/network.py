"""Fake network between zones and to the platform."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from ..transport.messages import message_codec
from ..transport.send import Send
from .schema import LinkSpec
from .timeline import Timeline

PLATFORM = "platform"
WITHIN_ZONE_MS = 0.3


class FakeNetwork:
    """Delivers messages with delay, jitter and loss, except over blocked links.

    Args:
        timeline: Simulated time.
        random: Source of random numbers.
        spec: Jitter and loss of the links between zones.
        zones: Zones of the deployment.
        link_ms: One-way delay between zones.
        deliver: Called with ``(to address, sender address, message)`` on arrival.
    """

    def __init__(
        self,
        *,
        timeline: Timeline,
        random: Random,
        spec: LinkSpec,
        zones: Sequence[str],
        link_ms: float,
        deliver: Callable[[str, str, Any], None],
    ) -> None:
        self._timeline = timeline
        self._random = random
        self._spec = spec
        self._zones = tuple(zones)
        self._link_ms = spec.delay_ms if spec.delay_ms >= 0 else link_ms
        self._deliver = deliver
        self._blocked_links: set[frozenset[str]] = set()
        self.zone_of: dict[str, str] = {}
        self.messages = 0

    def block_link(self, one: str, other: str) -> None:
        """Block the link between two zones, or between a zone and the platform."""
        self._blocked_links.add(frozenset((one, other)))

    def isolate(self, zone: str) -> None:
        """Block all links of a zone."""
        for other in (*self._zones, PLATFORM):
            if other != zone:
                self.block_link(zone, other)

    def heal(self) -> None:
        """Unblock all links."""
        self._blocked_links.clear()

    def is_blocked(self, one: str, other: str) -> bool:
        """Return whether the link between the two is blocked."""
        return frozenset((one, other)) in self._blocked_links

    def connected_zones(self) -> set[str]:
        """Return the zones that have a path to the platform, directly or through other zones."""
        found = {zone for zone in self._zones if not self.is_blocked(zone, PLATFORM)}
        changed = True
        while changed:
            new = {
                zone
                for zone in self._zones
                if zone not in found and any(not self.is_blocked(zone, other) for other in found)
            }
            changed = bool(new)
            found |= new
        return found

    def delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay of a packet in seconds."""
        base = WITHIN_ZONE_MS if one == other else self._link_ms
        jitter = 0.0 if one == other else self._random.uniform(0, self._spec.jitter_ms)
        return (base + jitter) / 1000

    def send(self, sender: str, effect: Send) -> None:
        """Send one message; a lost message is not reported, as on a real link."""
        self.messages += 1
        zone = self.zone_of[sender]
        other = self.zone_of.get(effect.to)
        if other is None or self.is_blocked(zone, other):
            return
        if zone != other and self._random.random() < self._spec.loss:
            return
        message = effect.message
        if self._spec.encoded:
            message = message_codec.decode(message_codec.encode(message))
        delay = self.delay_s(zone, other)
        self._timeline.after(delay, lambda: self._deliver(effect.to, sender, message))
