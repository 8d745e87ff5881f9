"""Records what a running node's core received, for replay."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from pathlib import Path

from ..calls import ViewHolder
from ..clock import Clock
from ..membership import Member
from ..proof.core_factory import CoreOptions
from ..proof.trace import SteppedClock, TraceWriter, seeded_random, trace_core
from .core import NodeCore

SEED_BITS = 64


class NodeTrace:
    """The trace of one process; only loaded when the settings ask for one.

    Args:
        path: File to write.
        limit_bytes: Largest size of the file.
        clock: The real clock.
        own_load: Returns the number of calls at the own target.
    """

    def __init__(
        self, path: str, *, limit_bytes: int, clock: Clock, own_load: Callable[[], int]
    ) -> None:
        self._seed = secrets.randbits(SEED_BITS)
        self._writer = TraceWriter(Path(path), limit_bytes=limit_bytes)
        self.clock = SteppedClock(clock, own_load)
        self.random = seeded_random(self._seed)

    def begin(self, own: Member, options: CoreOptions) -> None:
        """Write the first line; must come before the core is made."""
        self._writer.begin(own=own, options=options, seed=self._seed, clock=self.clock)

    def wrap(self, core: NodeCore, *, views: ViewHolder) -> NodeCore:
        """Return the core with recording around it."""
        return trace_core(core, views=views, clock=self.clock, writer=self._writer)

    def close(self) -> None:
        """Write the last line."""
        self._writer.close()
