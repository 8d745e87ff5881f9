"""A load generator on plain sockets, which does no work besides the call."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from attrs import define, field, frozen

Address = tuple[str, int]
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def split(address: str) -> Address:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@define(eq=False)
class Caller:
    """A client that repeats one request on a persistent connection.

    Attributes:
        address: Address to connect to.
        path: Path of the request.
        headers: Additional header lines, each terminated by CR LF.
    """

    address: Address
    path: str
    headers: str = ""
    _socket: socket.socket | None = field(default=None, init=False)
    _request: bytes = field(default=b"", init=False)

    def call(self) -> tuple[int, float]:
        """Send one request; return its status, 0 for no response, and its duration in seconds."""
        if self._socket is None:
            self._socket = socket.create_connection(self.address, timeout=10)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._socket.settimeout(None)
            self._request = f"GET {self.path} HTTP/1.1\r\nhost: b\r\n{self.headers}\r\n".encode()
        started = time.perf_counter()
        try:
            self._socket.sendall(self._request)
            data = self._socket.recv(65536)
            while data and not _complete(data):
                data += self._socket.recv(65536)
        except OSError:
            data = b""
        elapsed = time.perf_counter() - started
        if not data or b"connection: close" in data:
            self.close()
        return (int(data[9:12]) if data else 0), elapsed

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _complete(data: bytes) -> bool:
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    start = head.index(b"content-length: ") + 16
    return len(body) >= int(head[start:].split(b"\r\n", 1)[0])


@frozen
class Rate:
    """Result of a closed or open loop.

    Attributes:
        seconds: Duration.
        by_status: Number of responses by status.
        latencies_s: Latency of each call with status 200.
    """

    seconds: float
    by_status: dict[int, int]
    latencies_s: list[float]

    @property
    def good_per_s(self) -> float:
        """Calls with status 200 per second."""
        return self.by_status.get(200, 0) / self.seconds


def closed_loop(callers: Sequence[Caller], *, seconds: float) -> Rate:
    """Let each caller send its calls one after the other."""
    end = time.perf_counter() + seconds

    def run(caller: Caller) -> list[tuple[int, float]]:
        results = []
        while time.perf_counter() < end:
            results.append(caller.call())
        caller.close()
        return results

    with ThreadPoolExecutor(len(callers)) as executor:
        return _rate(seconds, list(executor.map(run, callers)))


def open_loop(callers: Sequence[Caller], *, per_s: float, seconds: float) -> Rate:
    """Send calls at fixed times, regardless of the responses, spread over the callers."""
    start = time.perf_counter()
    step = len(callers) / per_s

    def run(entry: tuple[int, Caller]) -> list[tuple[int, float]]:
        index, caller = entry
        due = start + index / per_s
        results = []
        while due < start + seconds:
            time.sleep(max(0.0, due - time.perf_counter()))
            results.append(caller.call())
            due += step
        caller.close()
        return results

    with ThreadPoolExecutor(len(callers)) as executor:
        return _rate(seconds, list(executor.map(run, enumerate(callers))))


def _rate(seconds: float, results: list[list[tuple[int, float]]]) -> Rate:
    by_status: dict[int, int] = {}
    latencies = []
    for status, elapsed in (entry for group in results for entry in group):
        by_status[status] = by_status.get(status, 0) + 1
        if status == 200:
            latencies.append(elapsed)
    return Rate(seconds, by_status, latencies)


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the quantile of the values at ``fraction``, 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


def cpu_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
