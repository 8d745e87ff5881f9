"""pyzmq sockets of one node, owned by the control task."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import zmq
from attrs import define

from ..clock import Clock, SystemClock
from ..codec import MAX_MESSAGE_BYTES
from ..errors import MessageRejected
from .framing import Received, pack, unpack
from .send import Send

MAX_PEER_SOCKETS = 256
"""A node on a platform tells its own changes to all others, 123 of them in the largest deployment.
With 64 sockets each such message opened a connection to every node again."""

SEND_QUEUE_MESSAGES = 200
RECEIVE_QUEUE_MESSAGES = 2_000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 5_000
IDLE_CLOSE_S = 60.0
MAX_REJECTED_PER_RECEIVE = (
    100  # a flood of bad frames must not keep the control task from its ticks
)
REPORT_INTERVAL_S = 10.0


@define
class _Peer:
    socket: zmq.Socket[bytes]
    used_at: float


class ZmqTransport:
    """Sends and receives frames; used by one thread.

    Args:
        address: Address to bind, ``tcp://ip:port``.
        mesh_id: Name of the mesh.
        key: Shared key of the mesh.
        clock: Source of time, for closing idle peers.
        reconnect_max_ms: Longest pause between attempts to reach a peer, in milliseconds.
        on_rejected: Told reason and count of dropped frames, at most every 10 s per reason.
    """

    def __init__(
        self,
        *,
        address: str,
        mesh_id: str,
        key: bytes,
        clock: Clock | None = None,
        on_rejected: Callable[[str, int], None] = lambda reason, count: None,
        reconnect_max_ms: int = RECONNECT_MAX_MS,
    ) -> None:
        self._address = address
        self._mesh_id = mesh_id
        self._key = key
        self._clock: Clock = clock or SystemClock()
        self._on_rejected = on_rejected
        self._reconnect_max_ms = reconnect_max_ms
        self._context = zmq.Context(io_threads=1)
        self._inbox = self._context.socket(zmq.ROUTER)
        self._inbox.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._inbox.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
        self._inbox.setsockopt(zmq.LINGER, 0)
        self._inbox.bind(address)
        self._peers: OrderedDict[str, _Peer] = OrderedDict()
        self._last_packed: tuple[Any, bytes] | None = None
        self._next_sweep = 0.0
        self._bytes_sent = 0
        self._messages_sent = 0
        self._bytes_received = 0
        self._rejected: dict[str, int] = {}
        self._reported_at: dict[str, float] = {}

    @property
    def inbox(self) -> zmq.Socket[bytes]:
        """The receiving socket, for polling."""
        return self._inbox

    @property
    def context(self) -> zmq.Context[zmq.Socket[bytes]]:
        """The zmq context, for in-process wake-up sockets."""
        return self._context

    @property
    def bytes_sent(self) -> int:
        """Bytes of all frames handed to the sockets."""
        return self._bytes_sent

    @property
    def messages_sent(self) -> int:
        """Number of frames handed to the sockets."""
        return self._messages_sent

    @property
    def bytes_received(self) -> int:
        """Bytes of all frames taken from the socket."""
        return self._bytes_received

    @property
    def rejected(self) -> dict[str, int]:
        """Number of dropped frames by reason."""
        return dict(self._rejected)

    @property
    def open_peers(self) -> int:
        """Number of open sockets to peers."""
        return len(self._peers)

    def send(self, effect: Send) -> None:
        """Queue one message; drops it when it is too big or the peer's queue is full."""
        try:
            frame = self._frame(effect.message)
        except (OverflowError, ValueError):  # a number of another node that grew beyond 64 bits
            self._count_rejected("send-unencodable")
            return
        if len(frame) > MAX_MESSAGE_BYTES:
            self._count_rejected("send-oversized")
            return
        try:
            self._peer(effect.to).send(frame, zmq.DONTWAIT)
        except zmq.Again:
            self._count_rejected("send-queue-full")
            return
        except (zmq.ZMQError, OSError):
            self._count_rejected("send-failed")
            return
        self._bytes_sent += len(frame)
        self._messages_sent += 1

    def receive(self) -> Received | None:
        """Return the next accepted message, or None when there is none now; never raises."""
        for _ in range(MAX_REJECTED_PER_RECEIVE):
            try:
                parts = self._inbox.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                return None
            except zmq.ZMQError:
                self._count_rejected("receive-failed")
                return None
            self._bytes_received += sum(map(len, parts))
            try:
                if len(parts) != 2:
                    raise MessageRejected("malformed")
                return unpack(parts[1], mesh_id=self._mesh_id, key=self._key)
            except MessageRejected as error:
                self._count_rejected(error.reason)
        return None

    def close(self) -> None:
        """Close all sockets and the context."""
        for peer in self._peers.values():
            peer.socket.close(linger=100)
        self._inbox.close(linger=0)
        self._context.term()

    def _frame(self, message: Any) -> bytes:
        """Return the frame of a message; one that goes to many peers is packed once."""
        if self._last_packed is None or self._last_packed[0] is not message:
            frame = pack(message, sender=self._address, mesh_id=self._mesh_id, key=self._key)
            self._last_packed = message, frame
        return self._last_packed[1]

    def _peer(self, address: str) -> zmq.Socket[bytes]:
        now = self._clock.monotonic()
        peer = self._peers.pop(address, None)
        if peer is None:
            peer = _Peer(self._connect(address), now)
        peer.used_at = now
        self._peers[address] = peer
        self._close_idle(now)
        return peer.socket

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, self._reconnect_max_ms)
        try:
            socket.connect(address)
        except zmq.ZMQError:
            socket.close(linger=0)
            raise
        return socket

    def _close_idle(self, now: float) -> None:
        """Close the peers beyond the limit and those that were not used lately."""
        while len(self._peers) > MAX_PEER_SOCKETS:
            _, oldest = self._peers.popitem(last=False)
            oldest.socket.close(linger=100)
        if now < self._next_sweep:
            return
        self._next_sweep = now + IDLE_CLOSE_S / 4
        idle = [a for a, peer in self._peers.items() if now - peer.used_at > IDLE_CLOSE_S]
        for address in idle:
            self._peers.pop(address).socket.close(linger=100)

    def _count_rejected(self, reason: str) -> None:
        self._rejected[reason] = self._rejected.get(reason, 0) + 1
        now = self._clock.monotonic()
        if now - self._reported_at.get(reason, float("-inf")) >= REPORT_INTERVAL_S:
            self._reported_at[reason] = now
            self._on_rejected(reason, self._rejected[reason])
