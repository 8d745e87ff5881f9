"""Parses one response and determines whether its connection can be used again."""

from __future__ import annotations

import httptools

from .headers import Headers
from .limits import MAX_HEAD_BYTES

NO_BODY_STATUSES = frozenset({204, 304})

STATUSES = range(100, 600)
"""Statuses that HTTP has (RFC 9110, 15); the parser accepts all numbers of three digits."""


class ResponseReader:
    """Parses one response; its ``on_`` methods are callbacks of httptools.

    Args:
        head_only: Whether the request was HEAD, whose response has no body.
    """

    def __init__(self, *, head_only: bool) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._head_only = head_only
        self._interim = False
        self._done_parsing = False
        self._bytes_without_body = 0
        self.headers: Headers = []
        self.reason = b""
        self.status = 0
        self.continued = False
        self.head_done = False
        self.complete = False
        self.reusable = False
        self.broken = False
        self.fault = "the answer is malformed"
        self.parts: list[bytes] = []
        self.fields: dict[bytes, bytes] = {}

    def on_message_begin(self) -> None:
        if self.head_done:
            self.reusable = False  # An unsolicited second response.
            self._done_parsing = True
            return
        self.headers = []
        self.reason = b""

    def on_status(self, reason: bytes) -> None:
        if not self._done_parsing:
            self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.head_done:  # Trailers are dropped.
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self._done_parsing:
            return
        status = self._parser.get_status_code()
        if status not in STATUSES:
            self.fault = f"the answer has the status {status:03}, which HTTP does not have"
            self._done_parsing = True
            self._break()
            return
        if 100 <= status < 200:
            self._interim = True
            self.continued = self.continued or status == 100
            return
        self.status = status
        self.head_done = True
        self._bytes_without_body = 0
        self.fields = dict(self.headers)
        if self._head_only:
            self.complete = True
            self.reusable = self._parser.should_keep_alive() or self._keeps_by_header()
            self._done_parsing = True

    def on_body(self, data: bytes) -> None:
        self._bytes_without_body = 0
        if self._done_parsing:
            self.reusable = False
        else:
            self.parts.append(data)

    def on_message_complete(self) -> None:
        if self._interim:
            self._interim = False
            return
        if not self._done_parsing:
            self.complete = True
            self.reusable = self._parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Parse bytes from the connection.

        The parser buffers heads, interim responses, chunk extensions and trailers without a limit,
        so a response with more than `MAX_HEAD_BYTES` of these is broken.
        """
        self._bytes_without_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break()
        if self._bytes_without_body > MAX_HEAD_BYTES:
            self._break()

    def _break(self) -> None:
        self.reusable = False
        self.broken = not self.complete

    def end(self) -> None:
        """Handle the end of the connection, which completes a body without a declared length."""
        self.reusable = False
        if self.head_done and not self.framed and not self.broken:
            self.complete = True

    @property
    def framed(self) -> bool:
        """Whether the response declares where its body ends."""
        return b"content-length" in self.fields or b"transfer-encoding" in self.fields

    @property
    def declared_length(self) -> int | None:
        """Value of Content-Length, which the parser validated."""
        value = self.fields.get(b"content-length")
        return int(value) if value is not None else None

    def _keeps_by_header(self) -> bool:
        """Return whether a response to HEAD keeps its connection, even without a length."""
        connection = self.fields.get(b"connection", b"")
        return self._parser.get_http_version() == "1.1" and b"close" not in connection.lower()
