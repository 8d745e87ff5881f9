"""A mesh whose nodes follow the operator's topic by long polls."""

from __future__ import annotations

import json
from random import Random

from attrs import define, field

from citronrack.hosted.core import HostedCore
from citronrack.hosted.messages import PageRead, ReadFailed
from citronrack.hosted.readers import ReaderTimings
from citronrack.hosted.store import BACKOFF_CAP_S, KeyedPage
from citronrack.hosted.watch import read_timeout_ms
from citronrack.platform.operator import operator_topic

from .mesh import SERVICE, TICK_S, Mesh, config_record

STEP_S = 0.05
WAIT_S = ReaderTimings.within().wait_s
TOPIC = operator_topic().name


@define(eq=False)
class Poll:
    """The watch of one node.

    Attributes:
        needed: Whether the node wants the topic to be read.
        position: First offset that is asked for.
        began_at: When the read that is open began, None while there is none.
        hangs: Whether the open read gets no answer.
        next_at: When the next read may begin.
        failures: Reads without an answer since the last one that had one.
        limit_ms: Longest time of the open read beyond its wait; a silent store takes connections.
        random: Source of random numbers.
        waits: Whether the store holds the read while nothing changes.
    """

    needed: bool = True
    position: int = 0
    began_at: float | None = None
    hangs: bool = False
    next_at: float = 0.0
    failures: int = 0
    limit_ms: int = 0
    random: Random = field(factory=Random)
    waits: bool = False


class PollingMesh(Mesh):
    """Nodes with long polls; ticks of nodes come one after the other.

    Attributes:
        silent: Nodes that get no answer of the store.
        refused: Nodes that the store refuses.
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

    def add(self, name: str, *, boot: int = 1) -> HostedCore:
        """Add a node, in place of one of the same name."""
        core = super().add(name, boot=boot)
        poll = self.polls[name] = Poll(random=Random(name))

        def set_needed(needed: bool) -> None:
            if needed and not poll.needed:
                poll.position = max(poll.position, core.position(TOPIC))
                poll.waits = False
            poll.needed = needed

        core.callbacks.read_topics = set_needed
        return core

    def run(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._steps += 1
            for index, name in enumerate(self.cores):
                self._poll(name, self.polls[name])
                if (self._steps + index) % round(TICK_S / STEP_S) == 0:
                    self.deliver(name, self.cores[name].on_tick())
            self._store_writes()

    def change(self, version: int) -> None:
        """Let the operator write a configuration."""
        records = self.store.topics[TOPIC]
        records.append(config_record(version, len(records), f"p{version}"))

    def order(self, version: str) -> None:
        """Let the operator order a rollout."""
        fields = {"service": SERVICE, "target_version": version, "duration": "16s"}
        self.store.put(TOPIC, f"rollout/{SERVICE}", json.dumps(fields).encode())

    def readers(self, zone: str) -> list[str]:
        """Return the nodes of a zone that read the topic."""
        return [n for n, poll in self.polls.items() if poll.needed and self.zone_of(n) == zone]

    def versions(self) -> dict[str, int]:
        """Return the version in force on each node."""
        return {name: core.config_version for name, core in self.cores.items()}

    def _poll(self, name: str, poll: Poll) -> None:
        now = self.clock.monotonic()
        if poll.began_at is None:
            if not poll.needed or now < poll.next_at:
                return
            poll.began_at = now
            poll.limit_ms = read_timeout_ms(poll.failures, poll.random)
        poll.hangs = poll.hangs or name in self.silent
        waited_s = now - poll.began_at
        wait_s = WAIT_S if poll.waits else 0.0
        if name in self.refused:
            self._fail(name, poll, "refused")
        elif poll.hangs:
            if waited_s >= wait_s + poll.limit_ms / 1000:
                self._fail(name, poll, "timed out")
        else:
            records = tuple(self.store.topics[TOPIC][poll.position :])
            if records or waited_s >= wait_s:
                poll.position += len(records)
                poll.began_at, poll.waits, poll.failures = None, True, 0
                page = KeyedPage(records, poll.position, start=poll.position - len(records))
                self.deliver(
                    name, self.cores[name].handle(PageRead(TOPIC, page, full=False, created_at=now))
                )

    def _fail(self, name: str, poll: Poll, reason: str) -> None:
        poll.began_at, poll.hangs, poll.waits = None, False, False
        poll.failures += 1
        poll.next_at = self.clock.monotonic() + BACKOFF_CAP_S
        self.deliver(name, self.cores[name].handle(ReadFailed(TOPIC, reason)))
