"""How far the configuration in force can be trusted to lack no newer one, for withdrawn keys.

`StoreAccess` assumes that messages of other nodes are young, which is right unless this node, the
sender, a relay or their link has stood still. A key that was withdrawn meanwhile would be accepted
again for as long as an old confirmation looks fresh. Here, only what is certain counts.
"""

from __future__ import annotations

import math

from ..calls.confirmation import Confirmation
from ..clock import Clock
from .clock_bounds import ClockBounds
from .readers import NOT_STATED, ReaderHeartbeat

CHECK_S = 1.0
"""Longest time after the start of a node in which it accepts no key because no other node has told
its version. It asks others four times a second meanwhile, and a node that runs answers at once."""

STARTING = "the node has just started and has not heard the version of others, so takes no key"

NO_VERSION = -1
"""Version of a node without a configuration."""


class ConfigTrust:
    """Tracks since when the configuration in force may no longer be the newest.

    It also holds back keys after a start: the store may have returned from a copy that lacks the
    withdrawal of a key, and the other nodes know a newer version then.

    Args:
        clock: Clock that keeps running while the instance is suspended.
        newest_s: Time within which a change is in force at nodes that have contact with the others.
        revoke_s: Time without a confirmation after which no key is accepted, None for no limit.
    """

    def __init__(
        self, clock: Clock, *, newest_s: float = math.inf, revoke_s: float | None = None
    ) -> None:
        self._clock = clock
        self._newest_s = newest_s
        self._revoke_s = revoke_s
        self._started_at = clock.monotonic()
        self._clocks = ClockBounds()
        self._version = NO_VERSION
        self._told = NO_VERSION
        self._heard = False
        self._checked = False
        self._confirmation = Confirmation(clock, newest_s=newest_s)
        self._confirmation.withhold(STARTING)

    @property
    def version(self) -> int:
        """Version in force, `NO_VERSION` before the first one."""
        return self._version

    @property
    def confirmation(self) -> Confirmation:
        """Confirmation of the configuration in force, for the routing view with it."""
        return self._confirmation

    @property
    def age_s(self) -> float:
        """Seconds since the configuration in force was the newest for certain."""
        return self._confirmation.age_s

    @property
    def checked(self) -> bool:
        """Whether the version in force was compared with another node's after the start."""
        return self._checked

    @property
    def needs_answer(self) -> bool:
        """Whether other nodes have to be asked because messages confirm too little."""
        late = self._revoke_s is not None and self.age_s > self._revoke_s / 2
        return late or not self._checked

    def now_ms(self) -> int:
        """Return the time of the clock in milliseconds, which messages carry."""
        return math.floor(self._clock.monotonic() * 1000)

    def on_config(self, version: int) -> None:
        """Record that a configuration has come into force.

        It follows the one before, so nothing that was certain of that one is lost.
        """
        before = self._confirmation
        self._version = version
        self._confirmation = Confirmation(self._clock, newest_s=self._newest_s)
        self._confirmation.confirm(self._clock.monotonic() - before.age_s)
        self._confirmation.withhold(before.refusal)
        self._check()

    def on_read(self, confirmed_at: float) -> None:
        """Record that the store had no newer record at a time of the clock."""
        self._confirmation.confirm(min(confirmed_at, self._clock.monotonic()))

    def on_heartbeat(self, heartbeat: ReaderHeartbeat, *, covered: bool) -> None:
        """Record the heartbeat of a reader.

        Args:
            heartbeat: The heartbeat.
            covered: Whether this node has all records up to the end that the reader states.
        """
        now = self._clock.monotonic()
        offset_s: float | None
        if heartbeat.sent_ms == NOT_STATED:  # Of the previous release.
            confirmed_at, offset_s = now - heartbeat.age_ms / 1000, 0.0
        else:
            sender, sent_at = (heartbeat.name, heartbeat.boot), heartbeat.sent_ms / 1000
            confirmed_at = heartbeat.confirmed_ms / 1000
            offset_s = self._clocks.offset_s(sender, sent_at=sent_at, now=now)
        if covered and offset_s is not None:
            self.on_read(confirmed_at + offset_s)

    def on_answer(self, asked_ms: int, age_ms: int) -> None:
        """Record the answer of a node with the same records.

        Args:
            asked_ms: Time of the question by the own clock; the answer was made after it.
            age_ms: Age of the confirmation when the answer was made.
        """
        if math.floor(self._started_at * 1000) <= asked_ms <= self.now_ms():
            self.on_read((asked_ms - age_ms) / 1000)

    def on_peer(self, version: int, *, checked: bool) -> None:
        """Record the version of another node.

        Args:
            version: Version in force there.
            checked: Whether that node has compared it with another node's.
        """
        self._told = max(self._told, version)
        self._heard = self._heard or checked
        self._check()

    def on_tick(self) -> None:
        """Accept keys if no other node has answered after the start."""
        self._check()

    def _check(self) -> None:
        if self._checked or self._version == NO_VERSION or self._version < self._told:
            return
        if self._heard or self._clock.monotonic() - self._started_at >= CHECK_S:
            self._checked = True
            self._confirmation.withhold("")
