"""The log service over HTTP."""

from __future__ import annotations

import io

import msgpack
import pycurl

from ..errors import AppendRefused, AppendUnknown, LogTrimmed, LogUnavailable
from .client import LogPage

CONNECT_TIMEOUT_MS = 1_000
ANSWER_TIMEOUT_MS = 5_000
MAX_PAGE_BYTES = 8 * 1024 * 1024

_NOT_SENT = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST, pycurl.E_URL_MALFORMAT}
)


class HttpLogClient:
    """Client of one log service; not shared between threads.

    Args:
        base_url: Address of the service, such as ``http://127.0.0.1:7000``.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._curl = pycurl.Curl()

    def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset; see `LogClient.append`."""
        url = f"{self._base_url}/streams/{stream}/records"
        try:
            status, body = self._exchange(url, data=data, timeout_ms=ANSWER_TIMEOUT_MS)
        except pycurl.error as error:
            if error.args[0] in _NOT_SENT:
                raise AppendRefused(f"log service not reached: {error}") from error
            raise AppendUnknown(f"no answer to the append: {error}") from error
        if status == 200:
            return int(msgpack.unpackb(body)["offset"])
        if status == 503:
            raise AppendRefused("log service refused the append with status 503")
        raise AppendUnknown(f"log service answered the append with status {status}")

    def read(self, stream: str, start: int, *, limit: int, wait_ms: int) -> LogPage:
        """Return a page of records; see `LogClient.read`."""
        query = f"from={start}&max={limit}&wait_ms={wait_ms}"
        url = f"{self._base_url}/streams/{stream}/records?{query}"
        try:
            status, body = self._exchange(url, data=None, timeout_ms=ANSWER_TIMEOUT_MS + wait_ms)
        except pycurl.error as error:
            raise LogUnavailable(f"log service did not answer: {error}") from error
        if status not in (200, 410):
            raise LogUnavailable(f"log service answered with status {status}")
        try:
            content = msgpack.unpackb(body, raw=False)
            if status == 410:
                raise LogTrimmed(int(content["first"]))
            records = tuple((int(offset), bytes(data)) for offset, data in content["records"])
            return LogPage(int(content["first"]), int(content["end"]), records)
        except (KeyError, TypeError, ValueError, msgpack.UnpackException) as error:
            raise LogUnavailable("log service answered with a malformed page") from error

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def _exchange(self, url: str, *, data: bytes | None, timeout_ms: int) -> tuple[int, bytes]:
        curl = self._curl
        curl.reset()
        body = io.BytesIO()

        def collect(chunk: bytes) -> int | None:
            if body.tell() + len(chunk) > MAX_PAGE_BYTES:
                return -1
            body.write(chunk)
            return None

        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.WRITEFUNCTION, collect)
        if data is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, data)
            curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/octet-stream", "Expect:"])
        curl.perform()
        return curl.getinfo(pycurl.RESPONSE_CODE), body.getvalue()
