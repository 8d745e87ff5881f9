"""A worker whose leaving was acknowledged gets requests again after its node has restarted."""

from __future__ import annotations

import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import BROKEN, HELD, CannotRun, Site, main, new_id

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "catalogue"
RATE_PER_S = 40.0
DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
LATE_S = 2.8
SERVES_S = 10.0


def case() -> int:
    layout = [("zone-a", SERVICE), ("zone-a", SERVICE), ("zone-b", "shop")]
    with Site(str(Path(__file__).parent), layout) as site:
        stays, leaves, front = site.machines
        site.write_config([["part", "/part/", "idempotent", "1000ms", "300ms", 2, SERVICE]])
        for machine in site.machines:
            machine.start()
        for machine in (stays, front):
            site.add_worker(machine)
        worker = site.add_worker(leaves)
        site.wait_ready()
        site.wait_served(front, "/part/1")
        ended = threading.Event()

        def requester() -> None:
            while not ended.wait(random.expovariate(RATE_PER_S / 8)):
                front.request(new_id(), "/part/1", deadline_ms=2000)

        for _ in range(8):
            threading.Thread(target=requester, daemon=True).start()
        time.sleep(4.0)  # All machines are in touch.

        worker.reports.set()  # It sends no report after this one.
        late = worker.body()
        sent = time.monotonic()
        site.record(f"{leaves.name}: its worker sends a status report, ready, which is on its way")
        time.sleep(0.2)
        if not worker.send({"born": worker.born}, "Deregister"):
            raise CannotRun("the leave notice was not acknowledged")
        acknowledged = time.monotonic()
        site.record(f"{leaves.name} acknowledges that its worker leaves")
        started = 0.0
        if TROUBLE:
            time.sleep(0.2)
            leaves.kill()
            site.record(f"the node on {leaves.name} is killed")
            time.sleep(0.3)
            leaves.start()
            started = time.monotonic()
            site.record(f"the node on {leaves.name} starts")
            site.wait_ready([leaves])
            site.record(f"the node on {leaves.name} is ready")
        time.sleep(max(0.0, sent + LATE_S - time.monotonic()))
        taken = worker.send(late)
        site.record(f"the status report arrives {LATE_S} s late; acknowledged: {taken}")
        time.sleep(max(0.0, acknowledged + SERVES_S - time.monotonic()))
        ended.set()
        worker.stop()
        # Requests count once the machine that started again is in touch, too.
        first = max(acknowledged + DRAIN_S, started + STABILITY_WINDOW_S if started else 0.0)
        after = [at - acknowledged for at, _ in worker.arrived if at > first]
        text = f"{len(after)} requests reach the worker over 2 s after the acknowledgement"
        if after:
            text += f", {after[0]:.2f} to {after[-1]:.2f} s after it"
        site.record(text)
        print(text)
        return BROKEN if after else HELD


if __name__ == "__main__":
    main(case)
