"""Finds members at the start and after partitions, and repairs the table."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from ..clock import Clock
from ..transport.send import Send
from .digests import differing
from .member import Member, MemberState
from .messages import Join, MemberPage, TablePage, TablePull
from .packing import pack_all
from .table import MemberTable

PAGE_MEMBERS = 64
NO_PEERS_RETRY_S = 1.0
SEED_RETRY_S = 10.0  # two halves of a zone that lost each other meet again within about this time
REPAIR_INTERVAL_S = 10.0
REPAIR_SPREAD = 1.5
STARTUP_S = 30.0
STARTUP_REPAIR_INTERVAL_S = 2.0  # after a mass restart the first pages hold few members
MAX_ADDRESSES = 64


class Joining:
    """Contacts seeds, hands out pages and compares tables.

    Args:
        table: Members of the own zone.
        clock: Source of time.
        random: Source of random numbers.
        seeds: Addresses of nodes to ask, ``tcp://ip:port``.
    """

    def __init__(
        self, *, table: MemberTable, clock: Clock, random: Random, seeds: Sequence[str]
    ) -> None:
        self._table = table
        self._clock = clock
        self._random = random
        self._seeds = tuple(seeds)
        self._gone_addresses: dict[str, str] = {}
        self._next_contact = 0.0
        self._next_repair = clock.monotonic() + random.uniform(0, STARTUP_REPAIR_INTERVAL_S)
        self._startup_until = clock.monotonic() + STARTUP_S

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses, for example those that the log lists."""
        self._seeds = tuple(dict.fromkeys((*self._seeds, *addresses)))[:MAX_ADDRESSES]

    def keep_address(self, member: Member) -> None:
        """Keep the address of a member that is gone; it may only be out of reach."""
        self._gone_addresses[member.name] = member.address
        while len(self._gone_addresses) > MAX_ADDRESSES:
            del self._gone_addresses[next(iter(self._gone_addresses))]

    def on_tick(self) -> list[Send]:
        """Contact addresses outside the table when it is time."""
        now = self._clock.monotonic()
        if now < self._next_contact:
            return []
        peers = self._peers()
        interval = SEED_RETRY_S if peers else NO_PEERS_RETRY_S
        self._next_contact = now + interval * self._random.uniform(0.75, 1.25)
        live = {member.address for member in self._table.members()}
        known = dict.fromkeys((*self._seeds, *self._gone_addresses.values()))
        outside = [address for address in known if address not in live]
        wanted = min(len(outside), 1)  # three seeds at once tripled the load on a seed
        join = Join(self._table.own)
        return [Send(address, join) for address in self._random.sample(outside, wanted)]

    def answer_join(self, sender: str, message: Join) -> list[Send]:
        """Answer a member that wants the table."""
        members = sorted(
            (m for m in self._table.members() if m.name > message.after), key=lambda m: m.name
        )
        page = members[:PAGE_MEMBERS]
        tombstone = self._table.tombstone_of(message.member)
        content = (*page, tombstone) if tombstone is not None else tuple(page)
        last = len(members) <= PAGE_MEMBERS
        return [Send(sender, MemberPage(self._table.own, pack_all(content), last))]

    def next_page(self, members: Iterable[Member], *, last: bool) -> list[Send]:
        """Ask a random member for the next page, so that a herd does not load one seed."""
        names = [m.name for m in members if m.state != MemberState.GONE]
        peers = self._peers()
        if last or not names or not peers:
            return []
        return [Send(self._random.choice(peers).address, Join(self._table.own, max(names)))]

    def compare(self, sender: str, table_digest: int, *, settled: bool) -> list[Send]:
        """Ask for differences when a peer's table has another digest.

        Args:
            sender: Address of the peer.
            table_digest: Digest of its table.
            settled: Whether no updates are on their way that would explain the difference.
        """
        now = self._clock.monotonic()
        in_startup = now < self._startup_until
        if table_digest == self._table.digest.combined or now < self._next_repair:
            return []
        if not settled and not in_startup:
            return []
        interval = STARTUP_REPAIR_INTERVAL_S if in_startup else REPAIR_INTERVAL_S
        self._next_repair = now + interval * self._random.uniform(1, REPAIR_SPREAD)
        return [Send(sender, TablePull(self._table.own, self._table.digest.buckets))]

    def answer_pull(self, sender: str, message: TablePull) -> list[Send]:
        """Send the members of differing buckets, and ask back for what is missing here."""
        buckets = differing(self._table.digest.buckets, message.buckets)
        members = self._table.in_buckets(buckets)
        pages = [members[i : i + PAGE_MEMBERS] for i in range(0, len(members), PAGE_MEMBERS)]
        effects = [Send(sender, TablePage(pack_all(page))) for page in pages]
        if message.answer and buckets:
            pull = TablePull(self._table.own, self._table.digest.buckets, answer=False)
            effects.append(Send(sender, pull))
        return effects

    def _peers(self) -> list[Member]:
        return [m for m in self._table.members() if m.name != self._table.own.name]
