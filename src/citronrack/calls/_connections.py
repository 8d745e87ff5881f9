"""Connections to servers, and the pool of idle ones."""

from __future__ import annotations

import socket
import threading
import time
from collections import defaultdict, deque

from attrs import define, field

from ._sockets import set_receive_timeout

Address = tuple[str, int]

CANCEL_POLL_S = 0.25
"""How often a pending request checks whether its caller has disconnected."""

MAX_IDLE_PER_ADDRESS = 32
MAX_IDLE_S = 15.0
MIN_REUSE_DELAY_S = 0.002
"""Minimum idle time before a connection is used again.

A faulty server may send two responses to one request, the second right after the first. A response
that arrives during this time is noticed before the next request is written.
"""

MIN_LEARNED_IDLE_S = 0.02
"""Shortest idle time that counts as the cause of a broken connection. A server that crashes breaks
connections of any age."""

RESET_WITHIN_S = 0.1
"""Time in which a server resets a connection that it has dropped: a round trip plus processing."""

LEARNED_IDLE_FACTOR = 0.5
"""Factor on the idle time of a broken connection that gives the new idle limit of its server."""

LEARNED_IDLE_TTL_S = 10.0
"""How long a reduced idle limit applies to a server."""


@define(eq=False)
class Connection:
    """A connection to a server.

    Attributes:
        socket: The connection.
        address: Address of the server.
        idle_since: Monotonic time at which it was put into the pool.
        idle_s: How long it was idle before its current request, 0 for a new connection.
        receive_s: Current receive timeout.
        written: Whether the server may act on the written part of the current request.
        written_at: Monotonic time at which the first bytes of the request were written.
        sent_all: Whether the whole request was written.
        write_failed: Whether a write of the current request has failed. The kernel reports a reset
            once, so the next read shows the usual end of a connection.
    """

    socket: socket.socket
    address: Address
    idle_since: float = 0.0
    idle_s: float = 0.0
    written_at: float = 0.0
    receive_s: float = CANCEL_POLL_S
    written: bool = False
    sent_all: bool = False
    write_failed: bool = False

    def limit_receive(self, seconds: float) -> None:
        """Set the receive timeout; makes a system call only when it changes."""
        if seconds != self.receive_s:
            set_receive_timeout(self.socket, seconds)
            self.receive_s = seconds


@define(eq=False)
class ConnectionPool:
    """Idle connections by address; the most recently used one is taken first."""

    idle: dict[Address, deque[Connection]] = field(factory=lambda: defaultdict(deque))
    lock: threading.Lock = field(factory=threading.Lock)
    idle_limits: dict[Address, tuple[float, float]] = field(factory=dict)

    def max_idle_s(self, address: Address) -> float:
        """Return the idle time after which a connection to the server is not used again."""
        limit_s, until = self.idle_limits.get(address, (MAX_IDLE_S, 0.0))
        return limit_s if time.monotonic() < until else MAX_IDLE_S

    def record_loss(self, connection: Connection) -> None:
        """Reduce the server's idle limit after a connection broke before any response byte.

        Servers may drop idle connections without notice and reset them at the next request.
        """
        now = time.monotonic()
        if connection.idle_s < MIN_LEARNED_IDLE_S or now - connection.written_at > RESET_WITHIN_S:
            return
        limit_s = min(self.max_idle_s(connection.address), LEARNED_IDLE_FACTOR * connection.idle_s)
        self.idle_limits[connection.address] = limit_s, now + LEARNED_IDLE_TTL_S

    def take(self, address: Address) -> Connection | None:
        """Return the connection used last among those idle for at least `MIN_REUSE_DELAY_S`."""
        now = time.monotonic()
        with self.lock:
            connections = self.idle[address]
            for connection in reversed(connections):
                if connection.idle_since <= now - MIN_REUSE_DELAY_S:
                    connections.remove(connection)
                    connection.idle_s = now - connection.idle_since
                    return connection
        return None

    def put(self, connection: Connection) -> None:
        """Add an idle connection; closes the oldest ones beyond the limits."""
        connection.idle_since = time.monotonic()
        dropped: list[Connection] = []
        with self.lock:
            connections = self.idle[connection.address]
            connections.append(connection)
            while connections and (
                len(connections) > MAX_IDLE_PER_ADDRESS
                or connection.idle_since - connections[0].idle_since > MAX_IDLE_S
            ):
                dropped.append(connections.popleft())
        for old in dropped:
            old.socket.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self.lock:
            connections = [connection for group in self.idle.values() for connection in group]
            self.idle.clear()
        for connection in connections:
            connection.socket.close()
