"""Programs that send without end to the port for messages of other nodes."""

from __future__ import annotations

import socket
import threading
import unittest

import zmq

from citronrack.transport.zmq_transport import ZmqTransport

GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(48)
READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
"""First bytes of a peer and its handshake, as RFC 23 of ZeroMQ defines them."""

LONG_FRAME = b"\x02" + (10**12).to_bytes(8, "big")
PART = b"\x01\xfe" + b"x" * 254
"""A part of a message after which another one follows."""

ENDLESS = {
    "garbage": (b"", b"\x16\x03\x01\x00"),
    "handshake": (GREETING, b"G"),
    "one frame": (GREETING + READY + LONG_FRAME, b"x"),
}

BLOCK_BYTES = 64 * 1024
MAX_SENT_BYTES = 64 * 1024 * 1024
"""Bytes after which a sender gives up; far more than the buffers of two sockets hold."""

SEND_TIMEOUT_S = 2.0


class EndlessInputTest(unittest.TestCase):
    """What the port keeps of its input is bounded."""

    def setUp(self) -> None:
        self.transport = ZmqTransport(address="tcp://127.0.0.1:*", mesh_id="m", key=b"")
        self.stopping = threading.Event()
        thread = threading.Thread(target=self.receive)
        thread.start()
        self.addCleanup(self.transport.close)
        self.addCleanup(thread.join)
        self.addCleanup(self.stopping.set)

    def receive(self) -> None:
        """Take messages as the control task does."""
        while not self.stopping.is_set():
            self.transport.inbox.poll(50)
            self.transport.receive()

    def send_endless(self, start: bytes, repeated: bytes) -> int:
        """Send until the port closes or no longer reads; return the number of bytes."""
        endpoint = self.transport.inbox.getsockopt_string(zmq.LAST_ENDPOINT)
        block = repeated * (BLOCK_BYTES // len(repeated))
        total = 0
        address = ("127.0.0.1", int(endpoint.rpartition(":")[2].rstrip("\0")))
        with socket.create_connection(address, timeout=SEND_TIMEOUT_S) as connection:
            try:
                connection.sendall(start)
                while total < MAX_SENT_BYTES:
                    connection.sendall(block)
                    total += len(block)
            except (ConnectionError, TimeoutError):
                pass
        return total

    def test_endless_input(self) -> None:
        """Guards against keeping bytes in memory that are no message."""
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                self.assertLess(self.send_endless(start, repeated), MAX_SENT_BYTES)

    def test_endless_multipart_message(self) -> None:
        """Guards against keeping the parts of a message that never ends in memory."""
        self.assertLess(self.send_endless(GREETING + READY, PART), MAX_SENT_BYTES)
