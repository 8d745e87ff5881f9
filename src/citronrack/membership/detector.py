"""Failure detection: SWIM, with a quorum of witnesses before a member is declared gone."""

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
NOTICE_FORWARDS = 2  # each receiver forwards a notice once
MAX_RECHECK_PINGS = 8
OFFSET_QUERY_DELAY_S = 3.0  # a node that reads the log is ready earlier, without these offsets
OFFSET_QUERY_PINGS = 4  # per tick; collects the offsets of 233 members within about 15 s
PAUSE_S = 1.5  # ticks run every 0.25 s; a longer gap means that this process was paused
ISOLATED_S = 3.0  # with two or more peers, a ping or ack normally arrives every second
TOMBSTONE_S = 120.0  # longer than any update is in transit; then only the incarnation is kept
MAX_SPREAD = 16  # larger differences are left to table repair, which sends them compressed
SETTLE_S = 5.0  # gossip reaches all of 233 members in less time


class FailureDetector:
    """Pings members, detects failed ones and gossips their descriptions.

    Args:
        table: Members of the own zone.
        clock: Source of time.
        random: Source of random numbers.
        seeds: Addresses of nodes to join through, ``tcp://ip:port``.
        observer: Receives the offsets of other nodes.
        changed: Called with each member whose description or state has changed.
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
        """Mark this node as gone and return the notices to send."""
        self._table.update_own(state=int(MemberState.GONE), draining=True, ready=False)
        return self._notices(self._table.own, NOTICE_PEERS)

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message of one of `MESSAGES`."""
        self._check_pause()
        self._last_received = self._clock.monotonic()
        self._members_at_last_message = len(self._table.members())
        return self._handlers[type(message)](sender, message)

    def on_tick(self) -> list[Send]:
        """Ping the next member, process timeouts and announce changes of this node."""
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

    # Merging received state

    def _process_payload(self, sender: str, message: Ping | Ack) -> list[Send]:
        self._merge_self_reported(message.member)
        effects = self._merge_updates(message.updates)
        for suspicion in message.suspicions:
            self._process_suspicion(suspicion)
        settled = self._clock.monotonic() - self._last_change >= SETTLE_S
        effects += self._joining.compare(sender, message.table_digest, settled=settled)
        effects += self._observer.peer_observed(
            sender, offset=message.offset, facts_digest=message.facts_digest
        )
        return effects

    def _merge_self_reported(self, member: Member) -> None:
        """Merge the description that a member sent of itself."""
        if self._table.merge_self_reported(member):
            self._on_member_changed(member)

    def _merge_updates(self, updates: Sequence[Member]) -> list[Send]:
        """Merge updates, and ping members that peers report alive but this node has as gone."""
        changed = self._table.merge(updates)
        for member in changed:
            self._on_member_changed(member, spread=len(changed) <= MAX_SPREAD)
        disputed = [
            member
            for member in updates
            if member.state != MemberState.GONE
            and member.name != self._table.own.name
            and self._table.tombstone_of(member) is not None
        ]
        chosen = self._random.sample(disputed, min(MAX_RECHECK_PINGS, len(disputed)))
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

    def _process_suspicion(self, suspicion: Suspicion, *, spread: bool = True) -> None:
        if suspicion.name == self._table.own.name:
            self._table.refute(suspicion.incarnation)
            return
        member = self._table.get(suspicion.name)
        if member is None or member.state == MemberState.GONE:
            return
        if suspicion.incarnation < member.incarnation:
            return
        if self._suspicions.add(suspicion, self._clock.monotonic()) and spread:
            self._gossip.spread_suspicion(suspicion)
        changed = self._table.set_state(suspicion.name, suspicion.incarnation, MemberState.SUSPECT)
        if changed is not None:
            self._changed(changed)

    # Work of each tick

    def _check_pause(self) -> None:
        """Discard outstanding probes after a pause of this process.

        Acks may have been lost during the pause, so a missing one is no evidence of a failure.
        """
        now = self._clock.monotonic()
        gap = now - self._last_run
        self._last_run = now
        if gap > PAUSE_S:
            self._probes.clear()
            self._suspicions.shift(gap)
            self._next_ping = now + PING_INTERVAL_S

    def _is_isolated(self) -> bool:
        """Return whether nothing is received at all, which points to a fault of the own links."""
        since_received_s = self._clock.monotonic() - self._last_received
        return since_received_s > ISOLATED_S and self._members_at_last_message > 2

    def _announce_own(self) -> list[Send]:
        """Gossip the own description after a change; a drain is also sent to some peers at once."""
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
        """Ping the next member of a shuffled round, so that each is pinged once per round."""
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
        """Ping members with unknown offsets; without the log, readiness needs all offsets."""
        offsets = self._observer.peer_offsets()
        unknown = [peer for peer in self._peers() if offsets.get(peer.name, 0) is None]
        chosen = self._random.sample(unknown, min(OFFSET_QUERY_PINGS, len(unknown)))
        return [self._untracked_ping(member) for member in chosen]

    def _untracked_ping(self, member: Member) -> Send:
        """Return a ping whose ack is not awaited; tracked sequence numbers start at 1."""
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
        helpers = [
            m for m in self._peers() if m.state == MemberState.ALIVE and m.name != probe.name
        ]
        chosen = self._random.sample(helpers, min(INDIRECT_PINGS, len(helpers)))
        probe.helpers_asked = len(chosen)
        request = PingRequest(sequence, target.name, target.address)
        return [Send(helper.address, request) for helper in chosen]

    def _suspect(self, probe: Probe) -> list[Send]:
        """Suspect a member, and ping it so that it learns of the suspicion and can refute it."""
        member = self._table.get(probe.name)
        if member is None or member.state == MemberState.GONE:
            return []
        if member.incarnation != probe.incarnation:
            return []
        for witness in (self._table.own.name, *probe.witnesses):
            suspicion = Suspicion(member.name, member.incarnation, witness)
            self._process_suspicion(suspicion, spread=not self._is_isolated())
        return [self._untracked_ping(member)]

    def _resolve_suspicions(self, now: float) -> list[Send]:
        """Declare confirmed suspects gone; one with a single witness is only dropped here.

        A node with bad links would be the only witness against many healthy members.
        """
        effects: list[Send] = []
        for resolved in self._suspicions.take_due(now):
            if not resolved.confirmed:
                self._drop_unconfirmed(resolved.name)
                continue
            member = self._table.set_state(resolved.name, resolved.incarnation, MemberState.GONE)
            if member is not None:
                self._on_member_changed(member)
                effects += self._notices(member, NOTICE_PEERS)
        return effects

    def _drop_unconfirmed(self, name: str) -> None:
        """Drop an unconfirmed suspect; its address is contacted again, and peers may keep it."""
        member = self._table.get(name)
        if member is not None:
            self._joining.keep_address(member)
            self._table.drop(name)
            self._changed(attrs.evolve(member, state=int(MemberState.GONE)))

    def _expire_tombstones(self, now: float) -> None:
        """Drop tombstones older than `TOMBSTONE_S`."""
        due = [name for name, since in self._gone_at.items() if now >= since + TOMBSTONE_S]
        for name in due:
            del self._gone_at[name]
            self._table.drop_tombstone(name)

    def _peers(self) -> list[Member]:
        own = self._table.own.name
        return [member for member in self._table.members() if member.name != own]
