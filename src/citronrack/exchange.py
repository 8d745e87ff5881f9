"""HTTP requests over a persistent libcurl connection."""

from __future__ import annotations

import io
from collections.abc import Callable
from typing import Any

import pycurl


def exchange(
    curl: pycurl.Curl,
    url: str,
    *,
    data: bytes | None,
    connect_timeout_ms: int,
    timeout_ms: int,
    max_bytes: int,
    open_socket: Callable[[int, Any], Any] | None = None,
    on_header: Callable[[bytes], None] | None = None,
) -> tuple[int, bytes]:
    """Send a GET or a POST and return the status and the body of the response.

    Args:
        curl: The handle, used by one thread; its connection is reused.
        url: URL of the request.
        data: Body of a POST, None for a GET.
        connect_timeout_ms: Timeout for a new connection.
        timeout_ms: Timeout of the whole request.
        max_bytes: Largest response body; a larger one is an error.
        open_socket: Creates the socket of a new connection, None for libcurl's default.
        on_header: Receives each line of the response's head, None to ignore them.

    Raises:
        pycurl.error: When there is no complete response.
    """
    body = io.BytesIO()

    def collect(part: bytes) -> int | None:
        if body.tell() + len(part) > max_bytes:
            return -1
        body.write(part)
        return None

    curl.reset()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_timeout_ms)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.WRITEFUNCTION, collect)
    if on_header is not None:
        curl.setopt(pycurl.HEADERFUNCTION, on_header)
    if open_socket is not None:
        curl.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
    if data is not None:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, data)
        curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/octet-stream", "Expect:"])
    curl.perform()
    return int(curl.getinfo(pycurl.RESPONSE_CODE)), body.getvalue()
