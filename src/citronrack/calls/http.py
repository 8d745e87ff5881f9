"""Blocking HTTP/1.1 exchanges on one connection, on top of the httptools parsers."""

from __future__ import annotations

import socket

import httptools
from attrs import define, field

READ_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024


@define
class HttpMessage:
    """A request or an answer.

    Attributes:
        method: Method of a request.
        path: Path and query of a request.
        status: Status of an answer.
        headers: Pairs of lower-case name and value.
        body: The whole body.
        keep_alive: Whether the connection may be used again.
    """

    method: str = ""
    path: str = ""
    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body: bytes = b""
    keep_alive: bool = True


class _Collector:
    """Callbacks of the httptools parsers that build one message."""

    def __init__(self) -> None:
        self.message = HttpMessage()
        self.complete = False
        self._chunks: list[bytes] = []
        self._url = b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.message.headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        self._chunks.append(data)

    def on_message_complete(self) -> None:
        self.message.path = self._url.decode("latin-1")
        self.message.body = b"".join(self._chunks)
        self.complete = True


def read_request(connection: socket.socket) -> HttpMessage | None:
    """Return the next request, or None when the caller has closed the connection."""
    collector = _Collector()
    parser = httptools.HttpRequestParser(collector)
    if not _feed(connection, parser, collector):
        return None
    collector.message.method = parser.get_method().decode("ascii")
    collector.message.keep_alive = parser.should_keep_alive()
    return collector.message


def read_answer(connection: socket.socket) -> HttpMessage | None:
    """Return the answer, or None when the connection ended before it was complete."""
    collector = _Collector()
    parser = httptools.HttpResponseParser(collector)
    if not _feed(connection, parser, collector):
        return None
    collector.message.status = parser.get_status_code()
    collector.message.keep_alive = parser.should_keep_alive()
    return collector.message


def _feed(connection: socket.socket, parser: object, collector: _Collector) -> bool:
    while not collector.complete:
        data = connection.recv(READ_BYTES)
        if not data:
            return False
        parser.feed_data(data)  # type: ignore[attr-defined]
    return True
