"""Finds out which members answer (SWIM with witnesses)."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any

import attrs

from ..clock import Clock
from ..transport.send import Send
from .gossip import Gossip, PeerObserver
from .joining import Joining
from .member import Member, MemberState
from .messages import (
    Ack,
    DrainNotice,
    IndirectAck,
    Join,
    MemberPage,
    Ping,
    PingRequest,
    Suspicion,
    TablePage,
    TablePull,
)
from .packing import unpack_all
from .probes import Probe, Probes, RelayedPing
from .suspicions import Suspicions
from .table import MemberTable

PING_INTERVAL_S = 1.0
INDIRECT_PINGS = 3
NOTICE_PEERS = 8
NOTICE_FORWARDS = 2  # each receiver passes a notice on once
MAX_RECHECK_PINGS = 8
OFFSET_QUERY_DELAY_S = 3.0  # a node that reads the log is ready before and needs no peer's offset
OFFSET_QUERY_PINGS = 4  # per tick; a node that is not ready hears 233 members within about 15 s
PAUSE_S = 1.5  # ticks come four times a second; a longer gap means that this node did not run
ISOLATED_S = 3.0  # in a zone with two peers or more, some ping or ack arrives each second
TOMBSTONE_S = 120.0  # longer than any update is on its way; afterwards the incarnation is kept
MAX_SPREAD = 16  # larger differences are left to the repair of tables, which compresses them
SETTLE_S = 5.0  # an update reaches a zone of 233 members in less time


class FailureDetector:
    """Pings members and spreads their descriptions.

    Args:
        table: Members of the own zone.
        clock: Source of time.
        random: Source of random numbers.
        seeds: Addresses of nodes to ask, ``tcp://ip:port``.
        observer: Told about the offsets of other nodes.
        changed: Told about each member whose description or state has changed.
    """

    MESSAGES: tuple[type[Any], ...] = (
        Ping,
        Ack,
        PingRequest,
        IndirectAck,
        Join,
        MemberPage,
        TablePull,
        TablePage,
        DrainNotice,
    )

    def __init__(
        self,
        *,
        table: MemberTable,
        clock: Clock,
        random: Random,
        seeds: Sequence[str],
        observer: PeerObserver,
        changed: Callable[[Member], None] = lambda member: None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._random = random
        self._observer = observer
        self._changed = changed
        self._joining = Joining(table=table, clock=clock, random=random, seeds=seeds)
        self._suspicions = Suspicions(table.own.name)
        self._gossip = Gossip(table=table, suspicions=self._suspicions, observer=observer)
        self._probes = Probes()
        self._announced = table.own
        self._gossip.spread(table.own)
        self._round: list[str] = []
        self._gone_at: dict[str, float] = {}
        now = clock.monotonic()
        self._started = now
        self._last_run = now
        self._last_change = now
        self._last_received = now
        self._members_at_last_message = 1
        self._next_ping = now + random.uniform(0, PING_INTERVAL_S)
        self._handlers: dict[type[Any], Callable[[str, Any], list[Send]]] = {
            Ping: self._on_ping,
            Ack: self._on_ack,
            PingRequest: self._on_ping_request,
            IndirectAck: self._on_indirect_ack,
            Join: self._on_join,
            MemberPage: self._on_member_page,
            TablePull: self._on_table_pull,
            TablePage: self._on_table_page,
            DrainNotice: self._on_notice,
        }

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses to contact while they are not in the table."""
        self._joining.add_seeds(addresses)

    def leave(self) -> list[Send]:
        """Leave for good; returns the notices to send."""
        self._table.update_own(state=int(MemberState.GONE), draining=True, ready=False)
        return self._notices(self._table.own, NOTICE_PEERS)

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message of this core."""
        self._check_pause()
        self._last_received = self._clock.monotonic()
        self._members_at_last_message = len(self._table.members())
        return self._handlers[type(message)](sender, message)

    def on_tick(self) -> list[Send]:
        """Ping a member, follow up on silent ones, and spread changes of this node."""
        self._check_pause()
        if self._table.own.state == MemberState.GONE:
            return []
        now = self._clock.monotonic()
        effects = self._announce_own()
        effects += self._process_timeouts(now)
        effects += self._resolve_suspicions(now)
        effects += self._joining.on_tick()
        self._expire_tombstones(now)
        if now >= self._next_ping:
            self._next_ping = now + PING_INTERVAL_S
            effects += self._ping_next(now)
        if not self._table.own.ready and now >= self._started + OFFSET_QUERY_DELAY_S:
            effects += self._query_offsets()
        return effects

    # Messages

    def _on_ping(self, sender: str, message: Ping) -> list[Send]:
        effects = self._process_payload(sender, message)
        answer = self._gossip.payload(message.sequence, about=message.member)
        return [*effects, Send(sender, answer.to_message(Ack))]

    def _on_ack(self, sender: str, message: Ack) -> list[Send]:
        relayed_ping = self._probes.acknowledge(message.sequence)
        effects = self._process_payload(sender, message)
        if relayed_ping is not None:
            answer = IndirectAck(relayed_ping.sequence, self._table.own.name, True)
            effects.append(Send(relayed_ping.requester, answer))
        return effects

    def _on_ping_request(self, sender: str, message: PingRequest) -> list[Send]:
        target = self._table.get(message.target)
        if target is None or target.address != message.address:
            return []
        now = self._clock.monotonic()
        sequence = self._probes.start(RelayedPing(sender, message.sequence, now))
        payload = self._gossip.payload(sequence, about=target)
        return [Send(target.address, payload.to_message(Ping))]

    def _on_indirect_ack(self, _: str, message: IndirectAck) -> list[Send]:
        if message.reached:
            self._probes.acknowledge(message.sequence)
        else:
            self._probes.record_helper_failure(message.sequence, message.witness)
        return []

    def _on_join(self, sender: str, message: Join) -> list[Send]:
        self._merge_self_reported(message.member)
        return self._joining.answer_join(sender, message)

    def _on_member_page(self, _: str, message: MemberPage) -> list[Send]:
        members = unpack_all(message.packed, Member)
        effects = self._merge_updates((message.member, *members))
        return [*effects, *self._joining.next_page(members, last=message.last)]

    def _on_table_pull(self, sender: str, message: TablePull) -> list[Send]:
        self._merge_self_reported(message.member)
        return self._joining.answer_pull(sender, message)

    def _on_table_page(self, _: str, message: TablePage) -> list[Send]:
        return self._merge_updates(unpack_all(message.packed, Member))

    def _on_notice(self, _: str, message: DrainNotice) -> list[Send]:
        if not self._table.merge((message.member,)):
            return []
        self._on_member_changed(message.member)
        return self._notices(message.member, NOTICE_FORWARDS)

    # Taking over what others say

    def _process_payload(self, sender: str, message: Ping | Ack) -> list[Send]:
        self._merge_self_reported(message.member)
        effects = self._merge_updates(message.updates)
        for claim in message.suspicions:
            self._process_suspicion(claim)
        settled = self._clock.monotonic() - self._last_change >= SETTLE_S
        effects += self._joining.compare(sender, message.table_digest, settled=settled)
        effects += self._observer.peer_observed(
            sender, offset=message.offset, facts_digest=message.facts_digest
        )
        return effects

    def _merge_self_reported(self, member: Member) -> None:
        """Take over what a member says about itself."""
        if self._table.merge_self_reported(member):
            self._on_member_changed(member)

    def _merge_updates(self, updates: Sequence[Member]) -> list[Send]:
        """Merge; members that others see alive and this node holds gone are pinged."""
        changed = self._table.merge(updates)
        for member in changed:
            self._on_member_changed(member, spread=len(changed) <= MAX_SPREAD)
        doubted = [
            member
            for member in updates
            if member.state != MemberState.GONE
            and member.name != self._table.own.name
            and self._table.tombstone_of(member) is not None
        ]
        chosen = self._random.sample(doubted, min(MAX_RECHECK_PINGS, len(doubted)))
        return [self._untracked_ping(member) for member in chosen]

    def _on_member_changed(self, member: Member, *, spread: bool = True) -> None:
        now = self._clock.monotonic()
        self._last_change = now
        if member.state == MemberState.GONE:
            self._suspicions.drop(member.name)
            self._gone_at[member.name] = now
            self._joining.keep_address(member)
        elif member.state == MemberState.SUSPECT:
            self._suspicions.add(Suspicion(member.name, member.incarnation, ""), now)
        else:
            self._suspicions.clear(member.name, member.incarnation)
            self._gone_at.pop(member.name, None)
        if spread:
            self._gossip.spread(member)
        self._changed(member)

    def _process_suspicion(self, claim: Suspicion, *, spread: bool = True) -> None:
        if claim.name == self._table.own.name:
            self._table.refute(claim.incarnation)
            return
        member = self._table.get(claim.name)
        if member is None or member.state == MemberState.GONE:
            return
        if claim.incarnation < member.incarnation:
            return
        if self._suspicions.add(claim, self._clock.monotonic()) and spread:
            self._gossip.claim(claim)
        changed = self._table.set_state(claim.name, claim.incarnation, MemberState.SUSPECT)
        if changed is not None:
            self._changed(changed)

    # Work of each tick

    def _check_pause(self) -> None:
        """Drop what is outstanding when this node itself was paused.

        The answers may have come and gone meanwhile, so silence proves nothing.
        """
        now = self._clock.monotonic()
        gap = now - self._last_run
        self._last_run = now
        if gap > PAUSE_S:
            self._probes.clear()
            self._suspicions.shift(gap)
            self._next_ping = now + PING_INTERVAL_S

    def _is_isolated(self) -> bool:
        """Return whether this node hears nobody, so that its own links are the likely cause."""
        silent_s = self._clock.monotonic() - self._last_received
        return silent_s > ISOLATED_S and self._members_at_last_message > 2

    def _announce_own(self) -> list[Send]:
        """Queue the own description after a change; a drain is told to some peers at once."""
        own, before = self._table.own, self._announced
        if own.incarnation == before.incarnation:
            return []
        self._announced = own
        self._gossip.spread(own)
        if own.draining and not before.draining:
            return self._notices(own, NOTICE_PEERS)
        return []

    def _notices(self, member: Member, count: int) -> list[Send]:
        peers = [peer for peer in self._peers() if peer.name != member.name]
        chosen = self._random.sample(peers, min(count, len(peers)))
        return [Send(peer.address, DrainNotice(member)) for peer in chosen]

    def _ping_next(self, now: float) -> list[Send]:
        """Ping the next member of a shuffled round, so that each is pinged once a round."""
        if not self._round:
            self._round = [member.name for member in self._peers()]
            self._random.shuffle(self._round)
        while self._round:
            member = self._table.get(self._round.pop())
            if member is not None and member.state != MemberState.GONE:
                sequence = self._probes.start(Probe(member.name, member.incarnation, now))
                payload = self._gossip.payload(sequence, about=member)
                return [Send(member.address, payload.to_message(Ping))]
        return []

    def _query_offsets(self) -> list[Send]:
        """Ask members for their offsets; without the log, readiness depends on all of them."""
        offsets = self._observer.peer_offsets()
        unheard = [peer for peer in self._peers() if offsets.get(peer.name, 0) is None]
        chosen = self._random.sample(unheard, min(OFFSET_QUERY_PINGS, len(unheard)))
        return [self._untracked_ping(member) for member in chosen]

    def _untracked_ping(self, member: Member) -> Send:
        """Return a ping whose answer is not waited for; sequence numbers start at 1."""
        return Send(member.address, self._gossip.payload(0, about=member).to_message(Ping))

    def _process_timeouts(self, now: float) -> list[Send]:
        effects: list[Send] = []
        for relayed_ping in self._probes.take_failed_relayed_pings(now):
            answer = IndirectAck(relayed_ping.sequence, self._table.own.name, False)
            effects.append(Send(relayed_ping.requester, answer))
        for sequence, probe in self._probes.need_indirect_pings(now):
            effects += self._send_ping_requests(sequence, probe)
        for probe in self._probes.take_failed(now):
            effects += self._suspect(probe)
        return effects

    def _send_ping_requests(self, sequence: int, probe: Probe) -> list[Send]:
        probe.helpers_asked = 0
        target = self._table.get(probe.name)
        if target is None:
            return []
        able = [m for m in self._peers() if m.state == MemberState.ALIVE and m.name != probe.name]
        chosen = self._random.sample(able, min(INDIRECT_PINGS, len(able)))
        probe.helpers_asked = len(chosen)
        request = PingRequest(sequence, target.name, target.address)
        return [Send(helper.address, request) for helper in chosen]

    def _suspect(self, probe: Probe) -> list[Send]:
        """Claim that a member is silent, and tell it so that it can refute."""
        member = self._table.get(probe.name)
        if member is None or member.state == MemberState.GONE:
            return []
        if member.incarnation != probe.incarnation:
            return []
        for witness in (self._table.own.name, *probe.witnesses):
            claim = Suspicion(member.name, member.incarnation, witness)
            self._process_suspicion(claim, spread=not self._is_isolated())
        return [self._untracked_ping(member)]

    def _resolve_suspicions(self, now: float) -> list[Send]:
        """Declare members gone; what a single witness says is not spread.

        A node with bad links is the only witness against many members that are well.
        """
        effects: list[Send] = []
        for case in self._suspicions.take_due(now):
            if not case.confirmed:
                self._forget(case.name)
                continue
            member = self._table.set_state(case.name, case.incarnation, MemberState.GONE)
            if member is not None:
                self._on_member_changed(member)
                effects += self._notices(member, NOTICE_PEERS)
        return effects

    def _forget(self, name: str) -> None:
        """Drop a silent member; its address is contacted again, and others may still know it."""
        member = self._table.get(name)
        if member is not None:
            self._joining.keep_address(member)
            self._table.forget(name)
            self._changed(attrs.evolve(member, state=int(MemberState.GONE)))

    def _expire_tombstones(self, now: float) -> None:
        """Drop tombstones after their time."""
        due = [name for name, since in self._gone_at.items() if now >= since + TOMBSTONE_S]
        for name in due:
            del self._gone_at[name]
            self._table.drop_tombstone(name)

    def _peers(self) -> list[Member]:
        own = self._table.own.name
        return [member for member in self._table.members() if member.name != own]
