"""Load generator of the demo: callers that send calls at a constant rate."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor

import pycurl
from attrs import frozen

TIMEOUT_MS = 5_000


@frozen
class CallResponse:
    """Response to one call.

    Attributes:
        status: HTTP status, 0 when there was no response.
        body: Body of the response, or the error message.
        at_s: Monotonic time of the response in seconds.
    """

    status: int
    body: str
    at_s: float

    @property
    def service_version(self) -> str:
        """Service version that responded."""
        return self.body.split(" ", 1)[0] if self.status else ""


class Caller:
    """Sends calls over a persistent connection; must be used by a single thread."""

    def __init__(self) -> None:
        self._curl = pycurl.Curl()

    def call(self, url: str) -> CallResponse:
        """Send a GET request and return the response."""
        body = bytearray()
        self._curl.setopt(pycurl.URL, url)
        self._curl.setopt(pycurl.NOSIGNAL, 1)
        self._curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
        self._curl.setopt(pycurl.WRITEFUNCTION, body.extend)
        try:
            self._curl.perform()
            status = int(self._curl.getinfo(pycurl.RESPONSE_CODE))
        except pycurl.error as error:
            return CallResponse(0, str(error), time.monotonic())
        return CallResponse(status, body.decode(errors="replace"), time.monotonic())


class Traffic:
    """Context manager that sends calls in the background.

    Args:
        urls: URLs to call, each from its own thread.
        calls_per_s: Calls per second for each URL.
    """

    def __init__(self, urls: Sequence[str], *, calls_per_s: float) -> None:
        self._urls = urls
        self._interval_s = 1.0 / calls_per_s
        self._responses: list[CallResponse] = []
        self._stopping = threading.Event()
        self._executor = ThreadPoolExecutor(len(urls), thread_name_prefix="caller")
        self._futures: list[Future[None]] = []

    def __enter__(self) -> Traffic:
        self._futures = [self._executor.submit(self._run, url) for url in self._urls]
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._executor.shutdown()
        for future in self._futures:
            future.result()

    def since(self, start_s: float, *, until_s: float = float("inf")) -> list[CallResponse]:
        """Return the responses received between two monotonic times."""
        return [
            response for response in list(self._responses) if start_s <= response.at_s < until_s
        ]

    @staticmethod
    def by_version(responses: Sequence[CallResponse]) -> Counter[str]:
        """Return the number of responses by service version."""
        return Counter(response.service_version for response in responses)

    def _run(self, url: str) -> None:
        caller = Caller()
        next_call = time.monotonic()
        while not self._stopping.is_set():
            self._responses.append(caller.call(url))
            next_call = max(next_call + self._interval_s, time.monotonic())
            self._stopping.wait(max(0.0, next_call - time.monotonic()))
