"""A mesh whose nodes follow the operator topic with long polls."""

from __future__ import annotations

import json
from random import Random

from attrs import define, field

from citronrack.hosted.compose import MESH_READ_PAUSE_S
from citronrack.hosted.core import HostedCore
from citronrack.hosted.messages import PageRead, ReadFailed
from citronrack.hosted.position import era_of, offset_of, position_of
from citronrack.hosted.readers import RANK_SCOPE, ReaderTimings
from citronrack.hosted.store import BACKOFF_CAP_S, MESH_TOPIC, KeyedPage
from citronrack.hosted.watch import read_timeout_ms
from citronrack.platform.operator import operator_topic
from citronrack.rendezvous import weight

from .mesh import SERVICE, TICK_S, Mesh, config_record

STEP_S = 0.05
WAIT_S = ReaderTimings.within().wait_s
TOPIC = operator_topic().name


@define(eq=False)
class Poll:
    """Simulated watch of one node.

    Attributes:
        needed: Whether the node has to read the topic.
        position: First offset that is requested.
        started_at: Start time of the pending read, None if there is none.
        hangs: Whether the pending read gets no response.
        next_at: Earliest start of the next read.
        failures: Consecutive failed reads.
        limit_ms: Timeout of the pending read, in addition to its wait; a silent store still accepts
            connections.
        random: Source of random numbers.
        waits: Whether the store holds the read while there are no new records.
        mesh_at: Earliest time of the next read of the mesh topic.
    """

    needed: bool = True
    position: int = 0
    started_at: float | None = None
    hangs: bool = False
    next_at: float = 0.0
    failures: int = 0
    limit_ms: int = 0
    random: Random = field(factory=Random)
    waits: bool = False
    mesh_at: float = 0.0


class PollingMesh(Mesh):
    """Nodes with long polls and staggered ticks.

    Attributes:
        silent: Nodes that get no response from the store.
        refused: Nodes whose requests the store refuses.
    """

    def __init__(self, size: int, *, zones: tuple[str, ...]) -> None:
        self.polls: dict[str, Poll] = {}
        self.silent: set[str] = set()
        self.refused: set[str] = set()
        self._steps = 0
        super().__init__(size, zones=zones)
        self.store.topics[TOPIC] = [config_record(1, 0, "a")]
        self.read()
        self.read()
        for poll in self.polls.values():
            poll.position = 1

    def add(self, name: str, *, boot: int = 1, seeds: tuple[str, ...] = ()) -> HostedCore:
        """Add a node; it replaces one of the same name."""
        core = super().add(name, boot=boot, seeds=seeds)
        poll = self.polls[name] = Poll(needed=not seeds, random=Random(name))

        def set_needed(needed: bool) -> None:
            if needed and not poll.needed:
                poll.position = max(poll.position, core.position(TOPIC))
                poll.waits = False
            poll.needed = needed

        def reread() -> None:
            poll.position = position_of(self.store.era + 1, 0)

        core.callbacks.reread_operator = reread
        core.callbacks.read_topics = set_needed
        return core

    def run(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._steps += 1
            for index, name in enumerate(self.cores):
                self._poll(name, self.polls[name])
                self._poll_mesh(name, self.polls[name])
                if (self._steps + index) % round(TICK_S / STEP_S) == 0:
                    self.deliver(name, self.cores[name].on_tick())
            self._store_writes()

    def change(self, version: int) -> None:
        """Write a configuration as the operator."""
        record = config_record(version, 0, f"p{version}")
        self.store.put(TOPIC, record.key, record.value)

    def order(self, version: str, *, duration: str = "16s") -> None:
        """Write a rollout order as the operator."""
        fields = {"service": SERVICE, "target_version": version, "duration": duration}
        self.store.put(TOPIC, f"rollout/{SERVICE}", json.dumps(fields).encode())

    def readers(self) -> list[str]:
        """Return the nodes that read the topic."""
        return [name for name, poll in self.polls.items() if poll.needed]

    def next_reader(self, zone: str) -> str:
        """Return the node of a zone that reads first when the zone hears of no reader."""
        nodes = [name for name in self.cores if self.zone_of(name) == zone]
        return min(nodes, key=lambda name: weight(RANK_SCOPE, name))

    def versions(self) -> dict[str, int]:
        """Return the active configuration version of each node."""
        return {name: core.config_version for name, core in self.cores.items()}

    def _poll(self, name: str, poll: Poll) -> None:
        now = self.clock.monotonic()
        if poll.started_at is None:
            if not poll.needed or now < poll.next_at:
                return
            poll.started_at = now
            poll.limit_ms = read_timeout_ms(poll.failures, poll.random)
        poll.hangs = poll.hangs or name in self.silent
        waited_s = now - poll.started_at
        wait_s = WAIT_S if poll.waits else 0.0
        if name in self.refused:
            self._fail(name, poll, "refused")
        elif poll.hangs:
            if waited_s >= wait_s + poll.limit_ms / 1000:
                self._fail(name, poll, "timed out")
        else:
            full = era_of(poll.position) != self.store.era
            records = tuple(self.store.topics[TOPIC][offset_of(poll.position) :])
            if full or records or waited_s >= wait_s:
                page = KeyedPage(records, poll.position + len(records), start=poll.position)
                if full:
                    page = self.store.newest(TOPIC)
                poll.position = page.position
                poll.started_at, poll.waits, poll.failures = None, True, 0
                self.deliver(
                    name, self.cores[name].handle(PageRead(TOPIC, page, full=full, created_at=now))
                )

    def _poll_mesh(self, name: str, poll: Poll) -> None:
        """Read the mesh topic as the watch of a reader does."""
        now = self.clock.monotonic()
        if not poll.needed or now < poll.mesh_at or name in self.silent | self.refused:
            return
        poll.mesh_at = now + MESH_READ_PAUSE_S
        page = PageRead(MESH_TOPIC, self.store.newest(MESH_TOPIC), full=True, created_at=now)
        self.deliver(name, self.cores[name].handle(page))

    def _fail(self, name: str, poll: Poll, reason: str) -> None:
        poll.started_at, poll.hangs, poll.waits = None, False, False
        poll.failures += 1
        poll.next_at = self.clock.monotonic() + BACKOFF_CAP_S
        self.deliver(name, self.cores[name].handle(ReadFailed(TOPIC, reason)))
