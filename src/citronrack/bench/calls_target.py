"""A stand-in target in its own process, so that it shares no interpreter lock with the caller."""

from __future__ import annotations

import subprocess
import sys

from attrs import define, field

from ..standins.target import TargetStandIn


@define(eq=False)
class TargetProcess:
    """A running stand-in with the methods of `TargetStandIn` that a fleet uses.

    Attributes:
        service_version: Service version in its responses.
        delay_s: Duration of each request.
        workers: Number of requests that it handles concurrently; others are queued. 0 for no limit.
        address: ``ip:port`` of the server.
    """

    service_version: str
    delay_s: float = 0.0
    workers: int = 0
    address: str = field(default="", init=False)
    _process: subprocess.Popen[str] | None = field(default=None, init=False)

    @property
    def pid(self) -> int:
        """Process id."""
        if self._process is None:
            raise RuntimeError("the target is not running")
        return self._process.pid

    def start(self) -> None:
        """Start the process and wait until it listens."""
        options = [self.service_version, str(self.delay_s), str(self.workers)]
        self._process = subprocess.Popen(
            [sys.executable, "-m", "citronrack.bench.calls_target", *options],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None
        self.address = self._process.stdout.readline().strip()

    def stop(self) -> None:
        """End the process."""
        if self._process is not None:
            self._process.communicate()


def main() -> None:
    """Serve until the standard input is closed."""
    version, delay_s, workers = sys.argv[1:]
    target = TargetStandIn(
        service_version=version, delay_s=float(delay_s), workers=int(workers) or None
    )
    target.start()
    print(target.address, flush=True)
    sys.stdin.read()
    target.stop()


if __name__ == "__main__":
    main()
