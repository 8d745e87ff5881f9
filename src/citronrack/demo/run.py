"""The steps of the demo."""

from __future__ import annotations

import time
from collections.abc import Callable

import pycurl
from attrs import define, field

from ..bench.fleet import Fleet, wait_until

Write = Callable[[str], None]
CONVERGENCE_LIMIT_S = 9.0


@define
class Report:
    """Prints what was promised and what was seen, and counts broken promises."""

    write: Write
    broken: int = field(default=0, init=False)

    def step(self, promise: str, kept: bool, seen: str) -> None:
        """Print one step."""
        self.broken += not kept
        self.write(f"{'ok    ' if kept else 'BROKEN'} {promise}: {seen}")


def call(url: str, *, method: str = "GET") -> tuple[int, str]:
    """Return status and body of one call, ``(0, message)`` when there is no answer."""
    curl = pycurl.Curl()
    body = bytearray()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.TIMEOUT_MS, 5_000)
    curl.setopt(pycurl.WRITEFUNCTION, body.extend)
    try:
        curl.perform()
        return int(curl.getinfo(pycurl.RESPONSE_CODE)), body.decode()
    except pycurl.error as error:
        return 0, str(error)
    finally:
        curl.close()


def run_demo(write: Write) -> int:
    """Run all steps.

    Returns:
        0 when every promise was kept, else 1.
    """
    report = Report(write)
    with Fleet() as fleet:
        for zone in ("lowlands-a", "lowlands-b"):
            for index in (1, 2):
                fleet.add_node(f"{zone}-{index}", zone, service_version="1.0.0")
        for name in fleet.nodes:
            fleet.start(name)
        _publish(fleet, report)
        _call(fleet, report)
        _stop(fleet, report)
    return 1 if report.broken else 0


def _publish(fleet: Fleet, report: Report) -> None:
    first = next(iter(fleet.nodes.values()))
    alive = wait_until(lambda: first.client.get("/healthz").status == 200, limit_s=10)
    report.step("nodes start", alive, f"{len(fleet.nodes)} processes")
    intent = {
        "services": [
            {"name": "catalogue", "versions": {"1.0.0": {"name": "1.0.0"}}},
        ],
        "routes": [
            {
                "name": "lookups",
                "prefix": "/",
                "service": "catalogue",
                "service_version": "1.0.0",
            }
        ],
    }
    plan = first.client.post("/v1/plans", intent).content
    started = time.monotonic()
    result = first.client.post("/v1/plans/confirm", plan).content
    version = result.get("version", -1)
    everywhere = wait_until(
        lambda: all(
            node.client.get("/v1/status").content["version"] >= version
            for node in fleet.nodes.values()
        ),
        limit_s=CONVERGENCE_LIMIT_S,
    )
    elapsed = time.monotonic() - started
    report.step("configuration in force everywhere within 9 s", everywhere, f"{elapsed:.2f} s")


def _call(fleet: Fleet, report: Report) -> None:
    node = list(fleet.nodes.values())[1]
    ready = wait_until(lambda: node.client.get("/readyz").status == 200, limit_s=10)
    status, body = call(node.call_url + "/parts/wheel")
    report.step("a call gets the target's answer", ready and status == 200, f"{status} {body!r}")


def _stop(fleet: Fleet, report: Report) -> None:
    codes = [fleet.stop(name) for name in fleet.nodes]
    report.step("nodes stop gracefully", set(codes) == {0}, f"exit codes {codes}")
