"""Connections to servers, and those that are idle."""

from __future__ import annotations

import socket
import threading
import time
from collections import defaultdict, deque

from attrs import define, field

from ._sockets import set_receive_timeout

Address = tuple[str, int]

CANCEL_POLL_S = 0.25
"""How often a waiting exchange checks whether its caller has gone away."""

MAX_IDLE_PER_ADDRESS = 32
MAX_IDLE_S = 15.0
MIN_REUSE_DELAY_S = 0.002
"""Rest of a connection between two requests.

A server that answers a request twice sends the second answer right after the first. An answer that
arrives during the rest is noticed before the next request is written.
"""

MIN_LEARNED_IDLE_S = 0.02
"""Shortest rest that is taken for the reason of a lost connection; a server that crashes breaks
connections of any age."""

RESET_WITHIN_S = 0.1
"""Time in which a server resets a connection that it has forgotten: a round trip and some work."""

LEARNED_IDLE_FACTOR = 0.5
"""Part of the rest that lost a connection which is allowed afterwards."""

LEARNED_IDLE_TTL_S = 10.0
"""How long a server that lost a connection gets no request on others that rested as long."""


@define(eq=False)
class Connection:
    """A connection to a server.

    Attributes:
        socket: The connection.
        address: Address of the server.
        idle_since: Monotonic time at which it was put into the pool.
        idle_s: How long it was idle before its present request, 0 for a new connection.
        receive_s: Receive timeout in force.
        written: Whether the server may act on what was written of the present request.
        written_at: Monotonic time of its first bytes.
        sent_all: Whether the whole request was written.
    """

    socket: socket.socket
    address: Address
    idle_since: float = 0.0
    idle_s: float = 0.0
    written_at: float = 0.0
    receive_s: float = CANCEL_POLL_S
    written: bool = False
    sent_all: bool = False

    def limit_receive(self, seconds: float) -> None:
        """Set the receive timeout, with a system call only when it changes."""
        if seconds != self.receive_s:
            set_receive_timeout(self.socket, seconds)
            self.receive_s = seconds


@define(eq=False)
class ConnectionPool:
    """Idle connections by address, the last used one first."""

    idle: dict[Address, deque[Connection]] = field(factory=lambda: defaultdict(deque))
    lock: threading.Lock = field(factory=threading.Lock)
    idle_limits: dict[Address, tuple[float, float]] = field(factory=dict)

    def max_idle_s(self, address: Address) -> float:
        """Return the idle time after which a connection to a server is not used again."""
        limit_s, until = self.idle_limits.get(address, (MAX_IDLE_S, 0.0))
        return limit_s if time.monotonic() < until else MAX_IDLE_S

    def record_loss(self, link: Connection) -> None:
        """Learn from a connection that broke before a byte of the answer.

        Servers may forget idle connections without notice, and reset what comes next.
        """
        now = time.monotonic()
        if link.idle_s < MIN_LEARNED_IDLE_S or now - link.written_at > RESET_WITHIN_S:
            return
        limit_s = min(self.max_idle_s(link.address), LEARNED_IDLE_FACTOR * link.idle_s)
        self.idle_limits[link.address] = limit_s, now + LEARNED_IDLE_TTL_S

    def take(self, address: Address) -> Connection | None:
        """Return the idle connection that was used last and has rested."""
        now = time.monotonic()
        with self.lock:
            links = self.idle[address]
            for link in reversed(links):
                if link.idle_since <= now - MIN_REUSE_DELAY_S:
                    links.remove(link)
                    link.idle_s = now - link.idle_since
                    return link
        return None

    def put(self, link: Connection) -> None:
        """Keep a connection; the oldest one is closed when there are too many."""
        link.idle_since = time.monotonic()
        dropped: list[Connection] = []
        with self.lock:
            links = self.idle[link.address]
            links.append(link)
            while links and (
                len(links) > MAX_IDLE_PER_ADDRESS
                or link.idle_since - links[0].idle_since > MAX_IDLE_S
            ):
                dropped.append(links.popleft())
        for old in dropped:
            old.socket.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self.lock:
            links = [link for group in self.idle.values() for link in group]
            self.idle.clear()
        for link in links:
            link.socket.close()
