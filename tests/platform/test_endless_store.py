"""A store that answers without end."""

from __future__ import annotations

import base64
import json
import socket
import unittest
from collections.abc import Callable

from citronrack.errors import AppendUnknown, LogUnavailable
from citronrack.platform.store import MAX_TOPIC_BYTES, PlatformStore

from ..calls.support import ScriptedServer

STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"transfer-encoding: chunked\r\n\r\n"
ENDLESS = {
    "garbage": (b"", b"\x16\x03\x01\x00"),
    "header lines": (STATUS, b"x: y\r\n"),
    "one header": (STATUS + b"x: ", b"y"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"y"),
    "chunks": (CHUNKED, b"4\r\nbody\r\n"),
    "trailers": (CHUNKED + b"1\r\nz\r\n0\r\n", b"x: y\r\n"),
    "body without length": (STATUS + b"\r\n", b"body"),
    "declared length": (STATUS + b"content-length: 99999999999\r\n\r\n", b"body"),
}
"""Start of a response and the bytes that are repeated after it."""

BLOCK_BYTES = 64 * 1024
TIMEOUT_MS = 2_000


def endless(start: bytes, repeated: bytes) -> Callable[[socket.socket], None]:
    """Return a script that answers a request without end, until the client closes."""

    def script(connection: socket.socket) -> None:
        connection.recv(BLOCK_BYTES)
        block = repeated * (BLOCK_BYTES // len(repeated))
        try:
            connection.sendall(start)
            while True:
                connection.sendall(block)
        except OSError:
            return

    return script


def peak_memory_kb() -> int:
    """Return the largest resident memory of this process since the last reset, in KB."""
    with open("/proc/self/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))


class EndlessStoreTest(unittest.TestCase):
    """What the client keeps of an answer is bounded in size and time."""

    def client(self, script: Callable[[socket.socket], None]) -> PlatformStore:
        """Return a client of a store that answers each request with a script."""
        server = ScriptedServer(script)
        self.addCleanup(server.close)
        host, port = server.address
        client = PlatformStore(lambda: f"{host}:{port}")
        self.addCleanup(client.close)
        return client

    def test_endless_answers(self) -> None:
        """Guards against a node that keeps an endless answer of the store in memory."""
        before_kb = peak_memory_kb()
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                client = self.client(endless(start, repeated))
                with self.assertRaises(LogUnavailable):
                    client.newest("keyed.op", timeout_ms=TIMEOUT_MS)
                with self.assertRaises(LogUnavailable):
                    client.read("keyed.op", 0, wait_ms=0, timeout_ms=TIMEOUT_MS)
        self.assertLess(peak_memory_kb() - before_kb, 4 * MAX_TOPIC_BYTES // 1024)

    def test_endless_answer_to_an_append(self) -> None:
        """Guards against taking a write for refused whose answer has no end."""
        client = self.client(endless(*ENDLESS["one header"]))
        with self.assertRaises(AppendUnknown):
            client.put("keyed.mesh", "k", b"v")

    def test_endless_pages(self) -> None:
        """Guards against collecting the pages of a store that always has one more."""
        pages: list[int] = []

        def script(connection: socket.socket) -> None:
            while connection.recv(BLOCK_BYTES):
                pages.append(len(pages))
                value = base64.b64encode(bytes(512 * 1024)).decode()
                item = {"key": f"k{len(pages)}", "value": value, "offset": len(pages)}
                body = json.dumps({"items": [item], "has_more": True, "end": 10**6}).encode()
                length = f"content-length: {len(body)}\r\n\r\n".encode()
                connection.sendall(STATUS + length + body)

        with self.assertRaises(LogUnavailable):
            self.client(script).newest("keyed.op", timeout_ms=TIMEOUT_MS)
        self.assertLessEqual(len(pages), MAX_TOPIC_BYTES // (512 * 1024) + 1)
