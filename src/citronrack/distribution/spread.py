"""Replicates facts down the tree, to other zones and to peers with a different digest."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..clock import Clock
from ..membership.digests import differing
from ..transport.send import Send
from .facts import Fact, FactStore
from .messages import FactsDelta, PullFacts
from .tree import Tree

PULL_INTERVAL_S = 1.0
PULL_MAX_INTERVAL_S = 16.0
DELTA_BYTES = 32 * 1024
URGENT_PREFIX = "mark/"


class FactSpreader:
    """Brings the fact stores of all nodes to the same content.

    Args:
        own: Name of this node.
        store: Facts of this node.
        clock: Source of time.
        tree: Tree of the own zone.
        relays: Returns the address of one relay of each other zone.
    """

    def __init__(
        self,
        *,
        own: str,
        store: FactStore,
        clock: Clock,
        tree: Tree,
        relays: Callable[[], Sequence[str]],
    ) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._tree = tree
        self._relays = relays
        self._next_pull = 0.0
        self._interval = PULL_INTERVAL_S

    def put(self, fact: Fact, *, urgent: bool) -> list[Send]:
        """Add a fact of this node; an urgent one is pushed immediately."""
        if not self._store.merge((fact,)) or not urgent:
            return []
        return self._push((fact,), self._own, except_for="")

    def peer_observed(self, address: str, facts_digest: int) -> list[Send]:
        """Request differing facts from a peer.

        The interval doubles while answers bring nothing new, as when a full store rejects a fact
        or a peer has not pruned yet.
        """
        now = self._clock.monotonic()
        if facts_digest == self._store.digest:
            self._interval = PULL_INTERVAL_S
            return []
        if now < self._next_pull:
            return []
        self._next_pull = now + self._interval
        self._interval = min(PULL_MAX_INTERVAL_S, 2 * self._interval)
        return [Send(address, PullFacts(self._store.buckets))]

    def on_pull(self, sender: str, message: PullFacts) -> list[Send]:
        """Send the facts of the differing buckets, as many as fit into one message."""
        facts: list[Fact] = []
        size = 0
        for fact in self._store.in_buckets(differing(self._store.buckets, message.buckets)):
            size += fact.size
            if facts and size > DELTA_BYTES:
                break
            facts.append(fact)
        return [Send(sender, FactsDelta(tuple(facts)))] if facts else []

    def on_delta(self, sender: str, message: FactsDelta) -> list[Send]:
        """Merge facts; push new ones that are urgent or from another zone down the tree."""
        new = self._store.merge(message.facts)
        if not new:
            return []
        self._interval = PULL_INTERVAL_S
        self._next_pull = min(self._next_pull, self._clock.monotonic() + PULL_INTERVAL_S)
        from_other_zone = not self._tree.is_member(sender)
        urgent = [
            f for f in new if message.origin or f.key.startswith(URGENT_PREFIX) or from_other_zone
        ]
        if not urgent or not (from_other_zone or message.origin):
            return []
        origin = self._own if from_other_zone else message.origin
        return self._push(tuple(urgent), origin, except_for=sender)

    def _push(self, facts: tuple[Fact, ...], origin: str, *, except_for: str) -> list[Send]:
        message = FactsDelta(facts, origin)
        targets = [member.address for member in self._tree.children(origin)]
        if self._tree.index == 0:
            targets += self._relays()
        elif origin == self._own and self._tree.ranking:
            # The origin may be a leaf, so rank 0, a relay, gets the fact directly as well.
            targets.append(self._tree.ranking[0].address)
        chosen = dict.fromkeys(target for target in targets if target != except_for)
        return [Send(target, message) for target in chosen]
