"""pyzmq sockets of one node, owned by the control task."""

from __future__ import annotations

from collections import OrderedDict

import zmq

from ..codec import MAX_MESSAGE_BYTES
from ..errors import MessageRejected
from .framing import Received, pack, unpack
from .send import Send

MAX_PEER_SOCKETS = 64
SEND_QUEUE_MESSAGES = 200
RECONNECT_MS = 100
RECONNECT_MAX_MS = 5_000


class ZmqTransport:
    """Sends and receives frames; used by one thread.

    Args:
        address: Address to bind, ``tcp://ip:port``.
        mesh_id: Name of the mesh.
        key: Shared key of the mesh.
    """

    def __init__(self, *, address: str, mesh_id: str, key: bytes) -> None:
        self._address = address
        self._mesh_id = mesh_id
        self._key = key
        self._context = zmq.Context(io_threads=1)
        self._inbox = self._context.socket(zmq.ROUTER)
        self._inbox.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._inbox.setsockopt(zmq.LINGER, 0)
        self._inbox.bind(address)
        self._peers: OrderedDict[str, zmq.Socket[bytes]] = OrderedDict()
        self._bytes_sent = 0
        self._messages_sent = 0
        self._bytes_received = 0
        self._rejected: dict[str, int] = {}

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

    def send(self, effect: Send) -> None:
        """Queue one message; drops it when the peer's queue is full."""
        frame = pack(effect.message, sender=self._address, mesh_id=self._mesh_id, key=self._key)
        try:
            self._peer(effect.to).send(frame, zmq.DONTWAIT)
        except zmq.ZMQError:
            self._count("send-queue-full")
            return
        self._bytes_sent += len(frame)
        self._messages_sent += 1

    def receive(self) -> Received | None:
        """Return the next accepted message, or None when the inbox is empty."""
        while True:
            try:
                parts = self._inbox.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                return None
            self._bytes_received += sum(map(len, parts))
            try:
                if len(parts) != 2:
                    raise MessageRejected("malformed")
                return unpack(parts[1], mesh_id=self._mesh_id, key=self._key)
            except MessageRejected as error:
                self._count(error.reason)

    def close(self) -> None:
        """Close all sockets and the context."""
        for socket in self._peers.values():
            socket.close(linger=100)
        self._inbox.close(linger=0)
        self._context.term()

    def _peer(self, address: str) -> zmq.Socket[bytes]:
        socket = self._peers.pop(address, None)
        if socket is None:
            socket = self._context.socket(zmq.DEALER)
            socket.setsockopt(zmq.LINGER, 0)
            socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
            socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
            socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
            socket.connect(address)
        self._peers[address] = socket
        if len(self._peers) > MAX_PEER_SOCKETS:
            _, oldest = self._peers.popitem(last=False)
            oldest.close(linger=100)
        return socket

    def _count(self, reason: str) -> None:
        self._rejected[reason] = self._rejected.get(reason, 0) + 1
