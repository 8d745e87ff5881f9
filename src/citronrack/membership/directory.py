"""Members of other zones."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import Any

from ..clock import Clock
from ..distribution.progress import MAX_NAMES, ZoneProgress
from ..distribution.ranking import ranking
from ..distribution.tree import RELAYS, Tree
from ..transport.send import Send
from .digests import BUCKETS, differing
from .gossip import PeerObserver
from .messages import DrainNotice
from .packing import pack_all, unpack_all
from .remote import (
    MemberSummary,
    RemoteMember,
    summary_of,
)
from .table import MemberTable
from .zones import ZoneGossip, ZonePull, ZoneState, ZoneSummary, ZoneView, progress_of, report_of

EXCHANGE_INTERVAL_S = 2.0
FORWARD_INTERVAL_S = 4.0
UNKNOWN_AFTER_S = 30.0
FORGET_AFTER_S = 3_600.0
PULL_INTERVAL_S = 1.0  # one page of 64 members a second bounds the bytes after a mass restart
PAGE_MEMBERS = 64
OTHER_ADDRESS_SHARE = 0.25  # share of exchanges that try a seed or any member instead of a relay
MAX_ZONES = 64
RELAY_DELAY_S = 5.0  # a starting node takes itself for rank 0 until it knows its zone


class ZoneDirectory:
    """Exchanges compact descriptions of zones between relays and passes them on in the own zone.

    Args:
        table: Members of the own zone.
        clock: Source of time.
        random: Source of random numbers.
        seeds: Addresses of nodes of other zones by zone.
        observer: Told about offsets; knows those of this node.
        own_progress: Returns the progress of the own zone, for its name.
    """

    MESSAGES: tuple[type[Any], ...] = (ZoneGossip, ZonePull, ZoneSummary, DrainNotice)

    def __init__(
        self,
        *,
        table: MemberTable,
        clock: Clock,
        random: Random,
        seeds: Mapping[str, Sequence[str]],
        observer: PeerObserver,
        own_progress: Callable[[str], ZoneProgress],
    ) -> None:
        self._table = table
        self._clock = clock
        self._random = random
        self._own_zone = table.own.availability_zone
        self._seeds = {zone: tuple(some) for zone, some in seeds.items() if zone != self._own_zone}
        self._observer = observer
        self._own_progress = own_progress
        self._tree = Tree(table.own.name, table.members)
        self._views: dict[str, ZoneView] = {}
        self._own_view = ZoneView()
        self._was_draining = table.own.draining
        self._round: list[str] = []
        now = clock.monotonic()
        self._next_exchange = now + random.uniform(0, EXCHANGE_INTERVAL_S)
        self._next_forward = now + random.uniform(0, FORWARD_INTERVAL_S)
        self._next_pull = now
        self._pending_pulls: dict[str, str] = {}
        self._relay_from = now + RELAY_DELAY_S
        self._handlers: dict[type[Any], Callable[[str, Any], list[Send]]] = {
            ZoneGossip: self._on_gossip,
            ZonePull: self._on_pull,
            ZoneSummary: self._on_summary,
            DrainNotice: self._on_notice,
        }

    # What others ask

    def zones(self) -> tuple[str, ...]:
        """Return the names of the other zones."""
        return tuple(sorted({*self._seeds, *self._views}))

    def members(self, availability_zone: str) -> tuple[RemoteMember, ...]:
        """Return the members of another zone that are not gone; old entries are not `known`."""
        view = self._views.get(availability_zone)
        if view is None:
            return ()
        now = self._clock.monotonic()
        return tuple(
            RemoteMember(availability_zone, summary, now - as_of, now - as_of <= UNKNOWN_AFTER_S)
            for summary, as_of in view.entries()
            if not summary.gone
        )

    def zone_progress(self) -> tuple[ZoneProgress, ...]:
        """Return the progress of each zone, the own one first.

        A zone that was not heard for 30 s counts as unknown as a whole.
        """
        if self._tree.index == 0:
            own = self._own_progress(self._own_zone)
        else:
            names = [member.name for member in self._table.members()]
            own = self._progress_of(self._own_zone, self._own_view, names)
        others = []
        for zone in self.zones():
            view = self._views.get(zone, ZoneView())
            names = [summary.name for summary, _ in view.entries() if not summary.gone]
            others.append(self._progress_of(zone, view, names))
        return (own, *others)

    def relay_addresses(self) -> tuple[str, ...]:
        """Return the address of one relay of each other zone."""
        addresses = (self._address_in(zone) for zone in self.zones())
        return tuple(address for address in addresses if address is not None)

    # Core

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message of this core."""
        return self._handlers[type(message)](sender, message)

    def on_tick(self) -> list[Send]:
        """Exchange with another zone, pass on, and tell other zones of an own drain."""
        now = self._clock.monotonic()
        effects = [*self._send_drain_notice(), *self._pull_next()]
        if now >= self._next_exchange:
            self._next_exchange = now + EXCHANGE_INTERVAL_S * self._random.uniform(0.9, 1.1)
            effects += self._exchange()
        if now >= self._next_forward:
            self._next_forward = now + FORWARD_INTERVAL_S
            for view in self._views.values():
                view.drop_older(now - FORGET_AFTER_S)
            effects += self._send_to_zone()
        return effects

    def _send_to_zone(self) -> list[Send]:
        """Rank 0 tells its children, who pass it on; rank 1 tells rank 0."""
        if not self._tree.is_relay:
            return []
        targets = self._tree.ranking[:1] if self._tree.index else self._tree.children()
        heard = self._gossip(answer=False)
        return [Send(member.address, heard) for member in targets]

    @property
    def _acts_as_relay(self) -> bool:
        return self._tree.is_relay and self._clock.monotonic() >= self._relay_from

    def _exchange(self) -> list[Send]:
        """Send what is known to a relay of the next zone of a shuffled round."""
        if not self._acts_as_relay:
            return []
        if not self._round:
            self._round = list(self.zones())
            self._random.shuffle(self._round)
        address = self._address_in(self._round.pop()) if self._round else None
        return [] if address is None else [Send(address, self._gossip(answer=True))]

    def _send_drain_notice(self) -> list[Send]:
        own = self._table.own
        starts = own.draining and not self._was_draining
        self._was_draining = own.draining
        return [Send(a, DrainNotice(own)) for a in self.relay_addresses()] if starts else []

    def _on_gossip(self, sender: str, message: ZoneGossip) -> list[Send]:
        effects: list[Send] = []
        for state in message.states:
            effects += self._merge_state(sender, state)
        effects += self._observer.peer_observed(
            sender, offset=message.offset, facts_digest=message.facts_digest
        )
        if message.answer:
            effects.append(Send(sender, self._gossip(answer=False)))
        parent = self._tree.parent()
        if parent is not None and parent.address == sender:
            heard = self._gossip(answer=False)
            targets = (child.address for child in self._tree.children())
            effects += [Send(address, heard) for address in targets if address != sender]
        return effects

    def _merge_state(self, sender: str, state: ZoneState) -> list[Send]:
        now = self._clock.monotonic()
        own = state.availability_zone == self._own_zone
        view = self._own_view if own else self._view(state.availability_zone)
        if view is None:
            return []
        report_as_of = now - max(0, state.report_age_ms) / 1000
        if state.report is not None and report_as_of > view.report_as_of:
            view.report, view.report_as_of = state.report, report_as_of
        as_of = now - max(0, state.age_ms) / 1000
        if own or as_of <= view.as_of:
            return []
        if state.digest == view.digests.combined:
            view.as_of = as_of
            self._pending_pulls.pop(state.availability_zone, None)
            return []
        self._pending_pulls[state.availability_zone] = sender
        return self._pull_next()

    def _pull_next(self) -> list[Send]:
        """Ask for a page of the next zone that differs, one zone after the other."""
        now = self._clock.monotonic()
        if now < self._next_pull or not self._pending_pulls:
            return []
        zone = next(iter(self._pending_pulls))
        sender = self._pending_pulls.pop(zone)
        view = self._view(zone)
        if view is None:
            return []
        self._next_pull = now + PULL_INTERVAL_S
        return [Send(sender, ZonePull(zone, view.digests.buckets))]

    def _on_pull(self, sender: str, message: ZonePull) -> list[Send]:
        zone = message.availability_zone
        now = self._clock.monotonic()
        own = zone == self._own_zone
        view = self._views.get(zone)
        if not own and (view is None or now - view.as_of > UNKNOWN_AFTER_S):
            return []
        digests = self._table.digest if own or view is None else view.digests
        different = differing(digests.buckets, message.buckets)
        sent: list[MemberSummary] = []
        complete: list[int] = []
        for bucket in sorted(different):
            entries = self._summaries(zone, frozenset((bucket,)))
            if sent and len(sent) + len(entries) > PAGE_MEMBERS:
                break
            sent += entries
            complete.append(bucket)
        equal = tuple(sorted(frozenset(range(BUCKETS)) - different))
        age_ms = 0 if own or view is None else self._age_ms(view.as_of)
        page = ZoneSummary(zone, age_ms, tuple(complete), equal, pack_all(sent))
        return [Send(sender, page)]

    def _summaries(self, zone: str, buckets: frozenset[int]) -> list[MemberSummary]:
        if zone == self._own_zone:
            return [summary_of(member) for member in self._table.in_buckets(buckets)]
        return self._views[zone].in_buckets(buckets)

    def _on_summary(self, sender: str, message: ZoneSummary) -> list[Send]:
        view = self._view(message.availability_zone)
        if view is None:
            return []
        summaries = unpack_all(message.packed, MemberSummary)
        as_of = self._clock.monotonic() - max(0, message.age_ms) / 1000
        changed = view.merge(summaries, as_of)
        if message.buckets:
            names = frozenset(summary.name for summary in summaries)
            view.drop_missing(frozenset(message.buckets), names, as_of)
            view.confirm(frozenset(message.equal), as_of)
            if len(message.buckets) + len(message.equal) < BUCKETS:  # the page was full
                self._pending_pulls[message.availability_zone] = sender
        return self._forward_changes(message.availability_zone, changed, as_of, sender)

    def _on_notice(self, sender: str, message: DrainNotice) -> list[Send]:
        member = message.member
        if member.availability_zone == self._own_zone:
            return []  # the failure detector spreads it
        view = self._view(member.availability_zone)
        if view is None:
            return []
        now = self._clock.monotonic()
        changed = view.merge((summary_of(member),), now)
        return self._forward_changes(member.availability_zone, changed, now, sender)

    def _forward_changes(
        self, zone: str, changed: Sequence[MemberSummary], as_of: float, sender: str
    ) -> list[Send]:
        if not changed:
            return []
        age_ms = self._age_ms(as_of)
        return self._forward(
            ZoneSummary(zone, age_ms, (), (), pack_all(changed)), except_for=sender
        )

    def _forward(self, message: Any, *, except_for: str) -> list[Send]:
        """Send down the tree; a node that learned something elsewhere also tells the root."""
        targets = [child.address for child in self._tree.children()]
        if self._tree.index > 0 and not self._tree.is_member(except_for):
            targets.append(self._tree.ranking[0].address)
        return [Send(address, message) for address in targets if address != except_for]

    def _gossip(self, *, answer: bool) -> ZoneGossip:
        states = [self._own_state()]
        now = self._clock.monotonic()
        for zone, view in self._views.items():
            if now - view.as_of <= UNKNOWN_AFTER_S:
                age = self._age_ms(view.report_as_of) if view.report is not None else 0
                states.append(
                    ZoneState(
                        zone, view.digests.combined, self._age_ms(view.as_of), view.report, age
                    )
                )
        observer = self._observer
        return ZoneGossip(
            self._own_zone, tuple(states), observer.offset, observer.facts_digest, answer
        )

    def _own_state(self) -> ZoneState:
        digest = self._table.digest.combined
        if self._tree.index == 0:
            report = report_of(self._own_progress(self._own_zone))
            return ZoneState(self._own_zone, digest, 0, report, 0)
        view = self._own_view
        age = self._age_ms(view.report_as_of) if view.report is not None else 0
        return ZoneState(self._own_zone, digest, 0, view.report, age)

    def _progress_of(self, zone: str, view: ZoneView, names: Sequence[str]) -> ZoneProgress:
        age_s = self._clock.monotonic() - view.report_as_of
        if view.report is None or age_s > UNKNOWN_AFTER_S:
            unreported = tuple(names[:MAX_NAMES])
            return ZoneProgress(zone, -1, 0, len(names), (), False, age_s, unreported=unreported)
        return progress_of(zone, view.report, names, age_s)

    def _address_in(self, zone: str) -> str | None:
        """Return the address of a relay, or now and then of another node, of a zone."""
        members = [member for member in self.members(zone) if member.known]
        relays = [member.summary.address for member in ranking(members)[:RELAYS]]
        others: Iterable[str] = self._seeds.get(zone, ())
        if not relays or self._random.random() < OTHER_ADDRESS_SHARE:
            old = [member.summary.address for member in self.members(zone)]
            relays = [*relays, *others, *old]
        return self._random.choice(relays) if relays else None

    def _view(self, zone: str) -> ZoneView | None:
        if zone == self._own_zone:
            return None
        if zone not in self._views and len(self._views) < MAX_ZONES:
            self._views[zone] = ZoneView()
        return self._views.get(zone)

    def _age_ms(self, as_of: float) -> int:
        return max(0, round((self._clock.monotonic() - as_of) * 1000))
