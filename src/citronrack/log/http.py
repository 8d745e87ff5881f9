"""The log service over HTTP."""

from __future__ import annotations

import msgpack
import pycurl

from ..errors import AppendRefused, AppendUnknown, LogTrimmed, LogUnavailable
from ..exchange import exchange
from .client import LogPage, LogPageTooLarge

CONNECT_TIMEOUT_MS = 1_000
ANSWER_TIMEOUT_MS = 3_000  # an append must leave time for a second attempt; see appender.py
MAX_PAGE_BYTES = 8 * 1024 * 1024

_NOT_SENT_ERRORS = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST, pycurl.E_URL_MALFORMAT}
)
_AMBIGUOUS_STATUSES = frozenset({408, 409, 425, 429})  # a proxy may send these for a repeat


def _parse_offset(body: bytes) -> int:
    """Return the offset in the answer to an append."""
    try:
        offset = msgpack.unpackb(body)["offset"]
    except Exception as error:  # A foreign answer makes msgpack raise unrelated classes.
        raise AppendUnknown("log service answered the append with a malformed body") from error
    if type(offset) is not int or offset < 0:
        raise AppendUnknown("log service answered the append without an offset")
    return offset


class HttpLogClient:
    """Client of one log service; not shared between threads.

    Args:
        base_url: Address of the service, such as ``http://127.0.0.1:7000``.
        answer_timeout_ms: Longest time of a request, without the time of a long poll.
    """

    def __init__(self, base_url: str, *, answer_timeout_ms: int = ANSWER_TIMEOUT_MS) -> None:
        self._base_url = base_url.rstrip("/")
        self._answer_timeout_ms = answer_timeout_ms
        self._curl = pycurl.Curl()

    def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset; see `LogClient.append`."""
        url = f"{self._base_url}/streams/{stream}/records"
        try:
            status, body = self._exchange(url, data=data, timeout_ms=self._answer_timeout_ms)
        except pycurl.error as error:
            if error.args[0] in _NOT_SENT_ERRORS:
                raise AppendRefused(f"log service not reached: {error}") from error
            raise AppendUnknown(f"no answer to the append: {error}") from error
        if status == 200:
            return _parse_offset(body)
        if 400 <= status < 500 and status not in _AMBIGUOUS_STATUSES:
            raise AppendRefused(f"log service refused the append with status {status}")
        # An outage (503) may begin between the effect and the answer, so it proves nothing.
        raise AppendUnknown(f"log service answered the append with status {status}")

    def read(self, stream: str, start: int, *, limit: int, wait_ms: int) -> LogPage:
        """Return a page of records; see `LogClient.read`."""
        query = f"from={start}&max={limit}&wait_ms={wait_ms}"
        url = f"{self._base_url}/streams/{stream}/records?{query}"
        try:
            status, body = self._exchange(
                url, data=None, timeout_ms=self._answer_timeout_ms + wait_ms
            )
        except pycurl.error as error:
            if error.args[0] == pycurl.E_WRITE_ERROR:
                raise LogPageTooLarge(f"page exceeds {MAX_PAGE_BYTES} bytes") from error
            raise LogUnavailable(f"log service did not answer: {error}") from error
        if status not in (200, 410):
            raise LogUnavailable(f"log service answered with status {status}")
        try:
            content = msgpack.unpackb(body, raw=False)
            if status == 410:
                raise LogTrimmed(int(content["first"]))
            records = tuple((int(offset), bytes(data)) for offset, data in content["records"])
            return LogPage(int(content["first"]), int(content["end"]), records)
        except LogTrimmed:
            raise
        except Exception as error:  # A foreign answer makes msgpack raise unrelated classes.
            raise LogUnavailable("log service answered with a malformed page") from error

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def _exchange(self, url: str, *, data: bytes | None, timeout_ms: int) -> tuple[int, bytes]:
        return exchange(
            self._curl,
            url,
            data=data,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            timeout_ms=timeout_ms,
            max_bytes=MAX_PAGE_BYTES,
        )
