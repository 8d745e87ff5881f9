"""Exchanges pledges and tokens of allotments with the allocators of the zones."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Mapping
from heapq import nsmallest
from random import Random

from attrs import define, evolve, frozen

from ..clock import Clock
from ..decisions.allocator import SHARDS, Allocator, Grant, shard_of
from ..decisions.allotment import PLEDGE_S
from ..decisions.members import ZoneMembers
from ..decisions.tokens import Limit
from ..rendezvous import weight
from ..telemetry import Event, EventLog
from ..transport.messages import message_codec
from ..transport.send import Send
from .allotments import Allotments, TokensWanted
from .entry import NodeEntry, NodeTable
from .fanout import send_to

PLEDGE_INTERVAL_S = 0.5
"""Time between pledges of a node to an allocator."""

REPORT_INTERVAL_S = 2.0
"""Time between reports of an unchanged number of nodes, a third of the time for which it counts."""

NODES_PER_ALLOCATOR = 8
"""Nodes of a zone for each allocator, which bounds the messages of an allocator."""

SILENT_AFTER_S = 1.1
"""Time without an answer after which an allocator counts as down: two pledges were lost."""

PROBE_INTERVAL_S = 2.0
"""Time between questions to an allocator that is down, which is chosen again once it answers."""

POOL_CHECK_S = 0.1
"""Shortest time between looks for workspaces that need tokens of other zones."""

QUESTION_S = 0.25
"""Time after which a request for tokens without an answer is forgotten."""

START_DELAY_S = 0.5
"""Time after a start in which a node uses no share: it may know few of the others, and its earlier
process may have pledged its share."""

_ALLOCATORS_SCOPE = "allocators"


@message_codec.register("h-tkr")
@frozen
class TokenRequest:
    """Pledges the share of a node, and asks for tokens.

    Attributes:
        node: Name of the sender.
        number: Number of the request.
        issuer: Process of the receiver whose challenge is echoed, 0 for none.
        challenge: The receiver's latest challenge.
        pledges: Whether the request pledges shards, and withdraws those that are not named.
        shards: Shards whose share is pledged to the receiver.
        items: Pairs of workspace and number of tokens.
        surplus_only: Whether the sender is of another zone.
    """

    node: str
    number: int
    issuer: int = 0
    challenge: int = 0
    pledges: bool = False
    shards: tuple[int, ...] = ()
    items: tuple[tuple[str, int], ...] = ()
    surplus_only: bool = False


@message_codec.register("h-tkg")
@frozen
class TokenGrant:
    """Answers a request for tokens.

    Attributes:
        node: Name of the sender.
        number: Number of the request.
        issuer: Process of the sender.
        challenge: Time of the sender's steady clock in milliseconds, echoed by the next pledge.
        nodes: Number of nodes that share the limits, 0 while the sender does not know it.
        items: Workspace, number of tokens, milliseconds until a further token (0 if all were
            granted) and microseconds between further ones.
    """

    node: str
    number: int
    issuer: int
    challenge: int
    nodes: int = 0
    items: tuple[tuple[str, int, int, int], ...] = ()


@message_codec.register("h-tkm")
@frozen
class MemberCount:
    """Tells other allocators how many nodes have pledged to one lately.

    Attributes:
        node: Name of the sender.
        count: Number of nodes of its zone.
    """

    node: str
    count: int


@define(eq=False)
class _Peer:
    """What this node knows of an allocator.

    Attributes:
        issuer: Its process, 0 before its first answer.
        challenge: Its latest challenge.
        unanswered_since: Time of the first request without an answer, None for none.
        is_down: Whether it has not answered for some time, so that it is not chosen.
        next_probe_at: Time of the next question to it while it is down.
        next_pledge_at: Time of the next pledge.
    """

    issuer: int = 0
    challenge: int = 0
    unanswered_since: float | None = None
    is_down: bool = False
    next_probe_at: float = 0.0
    next_pledge_at: float = 0.0


@frozen
class _Question:
    """A request for tokens without an answer.

    Attributes:
        asked_at: Time at which it was sent.
        workspaces: Workspaces whose tokens are asked for.
        surplus: Whether it went to another zone.
        for_pool: Whether the tokens are for this node's own pools, as an allocator.
        zones: Zones that are asked next for requests that still wait.
        shortage: Answer of the own zone's allocator if it had no further token.
        allocator: Name of the allocator that was asked.
    """

    asked_at: float
    workspaces: frozenset[str]
    surplus: bool = False
    for_pool: bool = False
    zones: tuple[str, ...] = ()
    shortage: Grant | None = None
    allocator: str = ""


class AllotmentExchange:
    """Pledges shares, asks for tokens and hands them out; a part of the core without sockets.

    Args:
        name: Name of this node.
        availability_zone: Zone of this node.
        table: Entries of all nodes.
        allotments: Tokens of this node.
        slack: Requests in a window that are tolerated beyond each limit.
        clock: Clock that keeps running while the instance is suspended.
        random: Source of the number of this process.
        events: Event log.
    """

    def __init__(
        self,
        name: str,
        *,
        availability_zone: str,
        table: NodeTable,
        allotments: Allotments,
        slack: float,
        clock: Clock,
        random: Random,
        events: EventLog,
    ) -> None:
        self._name = name
        self._zone = availability_zone
        self._table = table
        self._allotments = allotments
        self._clock = clock
        self._random = random
        self._events = events
        self._allocator = Allocator(slack=slack)
        self._issuer = random.getrandbits(31) | 1
        self._starts_at = clock.monotonic() + START_DELAY_S
        self._peers: dict[str, _Peer] = defaultdict(_Peer)
        self._questions: dict[int, _Question] = {}
        self._number = 0
        self._next_pool_check_at = 0.0
        self._next_report_at = 0.0
        self._reported: MemberCount | None = None
        self._members = ZoneMembers(availability_zone, name)
        self._limits: Mapping[str, Limit] = {}
        self._assigned: tuple[str, ...] = ()

    def set_limits(self, limits: Mapping[str, Limit]) -> None:
        """Apply the limits of the configuration in force."""
        now = self._clock.monotonic()
        self._limits = limits
        self._allocator.set_limits(limits, now)
        self._allotments.set_limits(limits)

    def on_tick(self) -> list[Send]:
        """Pledge this node's share, and ask for tokens that are expected to be needed."""
        now = self._clock.monotonic()
        if not self._limits:
            return []
        self._drop_questions(now)
        pledges = self._pledge(now)
        self._allocator.set_nodes(self._count_nodes(now), now)
        return [
            *pledges,
            *self._probe(now),
            *self._report_members(now),
            *self._ask_for_pools(now),
        ]

    def on_wanted(self, message: TokensWanted) -> list[Send]:
        """Ask for a token for which a request waits."""
        now = self._clock.monotonic()
        workspace = message.workspace
        if message.overdue:
            return self._ask_all_zones(workspace, now)
        if self._is_asked(workspace):
            return []  # The answer shows how many requests still wait.
        allocator = self._allocator_of(shard_of(workspace), self._candidates(self._zone, now))
        if allocator is None:
            return self._ask_next_zone(workspace, 1, self._other_zones(), None, now)
        count = 1 + self._allotments.advance(workspace, now)
        return self._ask(allocator, {workspace: count}, now, _Question(now, frozenset({workspace})))

    def on_request(self, message: TokenRequest) -> list[Send]:
        """Record a pledge and answer a request for tokens."""
        sender = self._table.get(message.node)
        if sender is None:
            return []
        now = self._clock.monotonic()
        if message.pledges and message.issuer == self._issuer:
            self._record_pledge(message, message.challenge / 1000 + PLEDGE_S, now)
        grant = self._answer(message, now)
        return [Send(sender.peer_url, grant), *self._ask_for_pools(now)]

    def on_grant(self, message: TokenGrant) -> list[Send]:
        """Apply the answer of an allocator."""
        now = self._clock.monotonic()
        peer = self._peers[message.node]
        restarted = peer.issuer != message.issuer
        peer.issuer, peer.challenge = message.issuer, message.challenge
        peer.unanswered_since, peer.is_down = None, False
        question = self._questions.pop(message.number, None)
        if question is None:
            return []  # It is too late, and its tokens have lapsed.
        sends = self._apply(message, question, now)
        if restarted and not question.surplus:
            peer.next_pledge_at = 0.0  # A pledge counts from the first echoed challenge on.
            sends += self._pledge(now)
        return sends

    def on_member_count(self, message: MemberCount) -> None:
        """Record how many nodes another allocator has seen."""
        sender = self._table.get(message.node)
        if sender is not None:
            now = self._clock.monotonic()
            zone = sender.availability_zone
            self._members.report(zone, message.node, message.count, now)
            self._allocator.set_nodes(self._count_nodes(now), now)

    # Shares.

    def _count_nodes(self, now: float) -> int:
        """Return the number of nodes that share the limits, 0 shortly after the start."""
        if now < self._starts_at:
            return 0
        known = Counter(
            entry.availability_zone for entry in self._table.entries() if _has_share(entry)
        )
        return self._members.total(known, now)

    def _report_members(self, now: float) -> list[Send]:
        """Return the count of this allocator for those of other zones, if it is due."""
        if self._name not in self._assigned:
            return []
        count = MemberCount(self._name, self._members.own_count(now))
        if now < self._next_report_at and count == self._reported:
            return []
        self._next_report_at, self._reported = now + REPORT_INTERVAL_S, count
        others = [zone for zone in self._table.zones() if zone != self._zone]
        return [send for zone in others for send in send_to(count, self._candidates(zone, now))]

    def _pledge(self, now: float) -> list[Send]:
        """Return the pledges that are due, with the tokens to ask for in advance."""
        own = self._table.get(self._name)
        if own is None or now < self._starts_at:
            return []
        zone = self._candidates(self._zone, now)
        shards_of: dict[str, list[int]] = defaultdict(list)
        for shard in range(SHARDS):
            chosen = self._allocator_of(shard, zone)
            if chosen is not None:
                shards_of[chosen.name].append(shard)
        self._log_allocators(tuple(sorted(shards_of)))
        advances = self._allotments.advances(now)
        sends: list[Send] = []
        for entry in zone:
            shards = shards_of.get(entry.name, [])
            wanted = {
                workspace: count
                for workspace, count in advances.items()
                if shard_of(workspace) in shards and not self._is_asked(workspace)
            }
            due = bool(shards) and now >= self._peers[entry.name].next_pledge_at
            if due:
                self._peers[entry.name].next_pledge_at = now + PLEDGE_INTERVAL_S
            if due or wanted:
                pledges = due and _has_share(own)
                pledged = self._allotments.pledge(entry.name, shards, now) if pledges else ()
                question = _Question(now, frozenset(wanted))
                sends += self._ask(entry, wanted, now, question, shards=pledged, pledges=pledges)
        return sends

    def _probe(self, now: float) -> list[Send]:
        """Return questions to allocators that are down."""
        sends: list[Send] = []
        for name, peer in self._peers.items():
            entry = self._table.get(name)
            if entry is None or not peer.is_down or now < peer.next_probe_at:
                continue
            peer.next_probe_at = now + PROBE_INTERVAL_S
            sends += self._ask(entry, {}, now, _Question(now, frozenset(), surplus=True))
            peer.unanswered_since = None
        return sends

    def _record_pledge(self, message: TokenRequest, until: float, now: float) -> None:
        self._allocator.pledge(message.node, frozenset(message.shards), until=until, now=now)
        self._members.see(message.node, now)

    def _candidates(self, availability_zone: str, now: float) -> list[NodeEntry]:
        """Return the allocators of a zone, without those that do not answer."""
        entries = self._table.others_in(availability_zone)
        own = self._table.get(self._name)
        if availability_zone == self._zone and own is not None:
            entries.append(own)
        usable = [
            entry
            for entry in entries
            if _has_share(entry)
            and (entry.name not in self._peers or not self._peers[entry.name].is_down)
        ]
        count = -(-len(usable) // NODES_PER_ALLOCATOR)
        return nsmallest(count, usable, key=lambda entry: weight(_ALLOCATORS_SCOPE, entry.name))

    @staticmethod
    def _allocator_of(shard: int, candidates: list[NodeEntry]) -> NodeEntry | None:
        """Return the allocator of a shard, None without candidates."""
        scope = f"{_ALLOCATORS_SCOPE}/{shard}"
        return min(candidates, key=lambda entry: weight(scope, entry.name), default=None)

    def _log_allocators(self, names: tuple[str, ...]) -> None:
        if names != self._assigned:
            self._assigned = names
            self._events.write(Event.ALLOCATORS_CHANGED, allocators=names)

    # Tokens.

    def _ask(
        self,
        allocator: NodeEntry,
        wanted: Mapping[str, int],
        now: float,
        question: _Question,
        *,
        shards: tuple[int, ...] = (),
        pledges: bool = False,
    ) -> list[Send]:
        """Return the request to an allocator; one to this node itself is answered at once."""
        self._number += 1
        peer = self._peers[allocator.name]
        request = TokenRequest(
            self._name,
            self._number,
            peer.issuer,
            peer.challenge,
            pledges,
            shards,
            tuple(wanted.items()),
            question.surplus,
        )
        if allocator.name == self._name:
            if pledges:
                self._record_pledge(request, now + PLEDGE_S, now)
            return self._apply(self._answer(request, now), question, now)
        self._questions[self._number] = evolve(question, allocator=allocator.name)
        if peer.unanswered_since is None:
            peer.unanswered_since = now
        return [Send(allocator.peer_url, request)]

    def _ask_next_zone(
        self,
        workspace: str,
        count: int,
        zones: tuple[str, ...],
        shortage: Grant | None,
        now: float,
    ) -> list[Send]:
        """Return the request to the allocator of the next zone for tokens that it does not need.

        One zone is asked after the other, because tokens that are not used at once are lost.
        """
        for index, zone in enumerate(zones):
            allocator = self._allocator_of(shard_of(workspace), self._candidates(zone, now))
            if allocator is not None:
                question = _Question(
                    now,
                    frozenset({workspace}),
                    surplus=True,
                    zones=zones[index + 1 :],
                    shortage=shortage,
                )
                return self._ask(allocator, {workspace: count}, now, question)
        return []

    def _ask_all_zones(self, workspace: str, now: float) -> list[Send]:
        """Return requests to all other zones that were not asked; any allocator may be down."""
        question = _Question(now, frozenset({workspace}), surplus=True)
        asked = {
            known.allocator for known in self._questions.values() if workspace in known.workspaces
        }
        sends: list[Send] = []
        for zone in self._other_zones():
            allocator = self._allocator_of(shard_of(workspace), self._candidates(zone, now))
            if allocator is not None and allocator.name not in asked:
                sends += self._ask(allocator, {workspace: 1}, now, question)
        return sends

    def _other_zones(self) -> tuple[str, ...]:
        """Return the other zones in a random order."""
        others = [zone for zone in self._table.zones() if zone != self._zone]
        return tuple(self._random.sample(others, len(others)))

    def _ask_for_pools(self, now: float) -> list[Send]:
        """Ask other zones for what the demand of this zone exceeds the shares pledged here."""
        if now < self._next_pool_check_at:
            return []
        self._next_pool_check_at = now + POOL_CHECK_S
        shortages = self._allocator.shortages(now)
        zones = self._other_zones() if shortages else ()
        sends: list[Send] = []
        for zone in zones:
            candidates = self._candidates(zone, now)
            by_allocator: dict[str, tuple[NodeEntry, dict[str, int]]] = {}
            for workspace, count in shortages.items():
                allocator = self._allocator_of(shard_of(workspace), candidates)
                if allocator is not None:
                    _, wanted = by_allocator.setdefault(allocator.name, (allocator, {}))
                    wanted[workspace] = -(-count // len(zones))
            for allocator, wanted in by_allocator.values():
                question = _Question(now, frozenset(wanted), surplus=True, for_pool=True)
                sends += self._ask(allocator, wanted, now, question)
        return sends

    def _answer(self, message: TokenRequest, now: float) -> TokenGrant:
        items = []
        for workspace, count in message.items:
            grant = self._allocator.grant(workspace, count, now, surplus_only=message.surplus_only)
            pause_ms = math.ceil(grant.pause_s * 1000)
            spacing_us = round(grant.spacing_s * 1_000_000)
            items.append((workspace, grant.tokens, pause_ms, spacing_us))
        challenge = int(now * 1000)
        return TokenGrant(
            self._name,
            message.number,
            self._issuer,
            challenge,
            self._count_nodes(now),
            tuple(items),
        )

    def _apply(self, message: TokenGrant, question: _Question, now: float) -> list[Send]:
        """Add tokens, and ask further for requests that still wait."""
        if message.nodes and not question.surplus:
            self._allotments.set_nodes(message.nodes, now)
        sends: list[Send] = []
        for workspace, tokens, pause_ms, spacing_us in message.items:
            if question.for_pool:
                self._allocator.receive(workspace, tokens, asked_at=question.asked_at)
                continue
            left = self._allotments.add(workspace, tokens, asked_at=question.asked_at, now=now)
            shortage, zones = question.shortage, question.zones
            if not question.surplus:
                if not pause_ms:
                    sends += self.on_wanted(TokensWanted(workspace)) if left else []
                    continue
                shortage = Grant(0, pause_ms / 1000, spacing_us / 1_000_000)
                zones = self._other_zones()
            further = self._ask_next_zone(workspace, left, zones, shortage, now) if left else []
            if shortage is not None and not further:
                self._allotments.deny(workspace, shortage, now)
            sends += further
        return sends

    def _is_asked(self, workspace: str, *, surplus: bool = False) -> bool:
        """Return whether a request for a workspace's tokens is on its way.

        Args:
            workspace: Name of the workspace.
            surplus: Whether only requests to other zones count.
        """
        return any(
            (question.surplus or not surplus)
            and not question.for_pool
            and workspace in question.workspaces
            for question in self._questions.values()
        )

    def _drop_questions(self, now: float) -> None:
        """Forget requests without an answer, and avoid allocators that do not answer."""
        self._questions = {
            number: question
            for number, question in self._questions.items()
            if now - question.asked_at < QUESTION_S
        }
        for name, peer in self._peers.items():
            since = peer.unanswered_since
            if since is not None and now - since > SILENT_AFTER_S:
                peer.unanswered_since, peer.is_down = None, True
                peer.next_probe_at = now + PROBE_INTERVAL_S
                self._events.write(Event.ALLOCATOR_SILENT, peer=name)


def _has_share(entry: NodeEntry) -> bool:
    """Return whether a node shares the limits: not after its target has left for good."""
    return not entry.left_target_id or entry.left_target_id != entry.target_id
