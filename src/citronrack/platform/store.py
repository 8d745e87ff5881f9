"""HTTP client of the platform's store."""

from __future__ import annotations

import base64
import re
import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import pycurl

from ..errors import AppendRefused, AppendUnknown, LogTrimmed, LogUnavailable
from ..exchange import exchange
from ..hosted.position import MAX_OFFSET, era_of, offset_of, position_of
from ..hosted.store import AppendConflict, KeyedPage, KeyedRecord
from .fields import FieldError, parse_object, require, require_number
from .names import ERA_HEADER

CONNECT_TIMEOUT_MS = 800
"""Connecting within a region takes milliseconds; a recovered store must be detected quickly."""

ANSWER_TIMEOUT_MS = 3_000
"""Timeout of an append; a slow store takes over 300 ms."""

KEEP_ALIVE_S = 1
UNACKNOWLEDGED_MS = 2_500
"""An unresponsive connection is closed after this time, even during a long poll."""

LENGTH_BYTES = 4
OFFSET_BYTES = 8
HEADER_BYTES = 2 * OFFSET_BYTES
"""A page of raw records starts with the end offset and the first retained offset of the topic."""

PAGE_KB = 1_024
MAX_BODY_BYTES = 4 * 1024 * PAGE_KB
"""Largest accepted response body; a page of newest records is 1 MB before base64 encoding."""

MAX_TOPIC_BYTES = 16 * 1024 * PAGE_KB
"""Largest size of the newest records of a topic. The mesh topic has some 150 bytes for a node and
the operator topic one configuration, so more is a store that has one more page each time."""

_ERA = re.compile(rb"\d{1,6}")

_NOT_SENT = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})
_PARTITION = 0
"""Topics that keep the newest record of each key have one partition."""


class PlatformStore:
    """One connection to the store; used by one thread.

    Args:
        address: Returns ``ip:port`` of the store, which may change with the settings.
    """

    def __init__(self, address: Callable[[], str]) -> None:
        self._address = address
        self._curl = pycurl.Curl()
        self._era = 0

    def newest(self, topic: str, *, timeout_ms: int) -> KeyedPage:
        """Return the newest record of each key; see `KeyedStore.newest`."""
        records: list[KeyedRecord] = []
        position: int | None = None
        unreadable = size = 0
        after: dict[str, str] = {}
        while True:
            query = {"topic": topic, "part": _PARTITION, **after}
            status, body = self._read("log-newest", query, timeout_ms=timeout_ms)
            if status == 404:
                return KeyedPage((), position_of(self._era, 0))
            if status != 200:
                raise LogUnavailable(f"the store answered with status {status}")
            page = decode_newest_page(body, era=self._era)
            items, end, unreadable = page.records, page.position, unreadable + page.unreadable
            records += items
            size += len(body)
            if size > MAX_TOPIC_BYTES:
                raise LogUnavailable(f"the newest records have more than {MAX_TOPIC_BYTES} bytes")
            # Records may change between pages, so the next read starts at the end of the first one.
            position = end if position is None else position
            if era_of(end) != era_of(position):
                raise LogUnavailable("the store returned from a copy while it was read")
            if page.complete or not items:
                return KeyedPage(tuple(records), position, unreadable=unreadable)
            after = {"after": items[-1].key}

    def read(self, topic: str, start: int, *, wait_ms: int, timeout_ms: int) -> KeyedPage:
        """Return the records from ``start`` on; see `KeyedStore.read`."""
        query = {
            "topic": topic,
            "part": _PARTITION,
            "from": offset_of(start),
            "max_size": PAGE_KB,
            "wait_ms": wait_ms,
        }
        status, body = self._read("log-read", query, timeout_ms=wait_ms + timeout_ms)
        if status == 410 or self._era != era_of(start):
            raise LogTrimmed(offset_of(start))
        if status == 404:
            return KeyedPage((), start, start=start)
        if status != 200:
            raise LogUnavailable(f"the store answered with status {status}")
        records = tuple(_raw_records(body, start))
        position = records[-1].position + 1 if records else start
        end = position_of(self._era, int.from_bytes(body[:OFFSET_BYTES], "big"))
        return KeyedPage(records, position, complete=position >= end, start=start)

    def put(
        self, topic: str, key: str, value: bytes | None, *, expected_end: int | None = None
    ) -> int:
        """Write a record and return its position; see `KeyedStore.put`."""
        query: dict[str, Any] = {"topic": topic, "part": _PARTITION}
        if expected_end is not None:
            query["as_of"] = offset_of(expected_end)
        name = key.encode()
        content = bytes([len(name)]) + name + (value or b"")
        data = len(content).to_bytes(LENGTH_BYTES, "big") + content
        try:
            status, body = self._exchange(
                f"log-append?{urlencode(query)}", data=data, timeout_ms=ANSWER_TIMEOUT_MS
            )
        except pycurl.error as error:
            if error.args[0] in _NOT_SENT:
                raise AppendRefused(f"the store was not reached: {error}") from error
            raise AppendUnknown(f"no answer to the append: {error}") from error
        position = _append_position(status, body, self._era)
        if expected_end is not None and era_of(expected_end) != self._era:
            raise AppendUnknown("the store returned from a copy before the append")
        return position

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def _read(self, call: str, query: dict[str, Any], *, timeout_ms: int) -> tuple[int, bytes]:
        try:
            return self._exchange(f"{call}?{urlencode(query)}", data=None, timeout_ms=timeout_ms)
        except pycurl.error as error:
            raise LogUnavailable(f"the store did not answer: {error}") from error

    def _on_header(self, line: bytes) -> None:
        """Record the era in a line of a response's head; an invalid one has no effect."""
        name, _, value = line.partition(b":")
        if name.strip().lower() == ERA_HEADER and _ERA.fullmatch(value.strip()):
            self._era = int(value)

    def _exchange(self, call: str, *, data: bytes | None, timeout_ms: int) -> tuple[int, bytes]:
        return exchange(
            self._curl,
            f"http://{self._address()}/api/{call}",
            data=data,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            timeout_ms=timeout_ms,
            max_bytes=MAX_BODY_BYTES,
            open_socket=_open_socket,
            on_header=self._on_header,
        )


def _open_socket(purpose: int, address: Any) -> socket.socket:
    """Return a socket that detects an unresponsive peer."""
    connection = socket.socket(address.family, address.socktype, address.protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def decode_newest_page(body: bytes, *, era: int) -> KeyedPage:
    """Return a page of newest records; an item that cannot be read is counted and left out.

    Raises:
        LogUnavailable: If the body is not a page.
    """
    try:
        fields = parse_object(body)
        items = require(fields, "items", list)
        end = require_number(fields, "end", most=MAX_OFFSET)
    except FieldError as error:
        raise LogUnavailable(f"the store sent a malformed page: {error}") from error
    records = [record for item in items if (record := _newest_record(item, era)) is not None]
    return KeyedPage(
        tuple(records),
        position_of(era, end),
        complete=not fields.get("has_more"),
        unreadable=len(items) - len(records),
    )


def decode_offset(body: bytes) -> int:
    """Return the offset in the answer to an append.

    Raises:
        AppendUnknown: If there is none.
    """
    try:
        return require_number(parse_object(body), "offset", most=MAX_OFFSET)
    except FieldError as error:
        raise AppendUnknown(f"the store answered an append without an offset: {error}") from error


def _newest_record(item: Any, era: int) -> KeyedRecord | None:
    """Return the record in an item of a page, None if another writer has left an odd one."""
    try:
        if not isinstance(item, dict):
            raise FieldError("an item is not an object")
        require(item, "key", str).encode()  # Fails for a key that no message could carry.
        return KeyedRecord(
            key=require(item, "key", str),
            value=base64.b64decode(require(item, "value", str), validate=True),
            position=position_of(era, require_number(item, "offset", most=MAX_OFFSET)),
        )
    except ValueError:  # Also raised by the decoder of the value.
        return None


def _raw_records(body: bytes, start: int) -> list[KeyedRecord]:
    """Decode records, each of which is a length, the key's length, the key and the value."""
    records = []
    index = HEADER_BYTES
    position = start
    while index + LENGTH_BYTES <= len(body):
        length = int.from_bytes(body[index : index + LENGTH_BYTES], "big")
        content = body[index + LENGTH_BYTES : index + LENGTH_BYTES + length]
        if len(content) < length:
            raise LogUnavailable("the store sent a record that is cut short")
        key_end = 1 + content[0] if content else 0
        # A foreign record without a key or value does not remove any key that is used here.
        key = content[1:key_end].decode("utf-8", errors="replace")
        records.append(KeyedRecord(key, content[key_end:] or None, position))
        position += 1
        index += LENGTH_BYTES + length
    return records


def _append_position(status: int, body: bytes, era: int) -> int:
    """Return the position in the response to an append, or raise the error for its status."""
    if status == 200:
        return position_of(era, decode_offset(body))
    if status == 412:
        raise AppendConflict(position_of(era, _conflicting_end(body)))
    if status in (400, 403, 404, 409, 413, 429, 503, 507):
        raise AppendRefused(f"the store refused an append with status {status}")
    raise AppendUnknown(f"the store answered an append with status {status}")


def _conflicting_end(body: bytes) -> int:
    """Return the end of the topic in the answer to an append under a condition, 0 without one."""
    try:
        return require_number(parse_object(body), "end", most=MAX_OFFSET)
    except FieldError:
        return 0
