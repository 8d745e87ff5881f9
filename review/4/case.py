"""A version that was taken back gets calls again when the operator orders the next one."""

from __future__ import annotations

import json
import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import BROKEN, HELD, NOT_RUN, Site, main, new_id

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "catalogue"
RATE_PER_S = 140.0
WORK_S = 0.065
REQUESTERS = 40
ORDERED_S = 10.0
NEXT_ORDER_AFTER_S = 0.5
DRAIN_AFTER_S = 5.0
STABILITY_WINDOW_S = 3.0
CANARY_SHARE, CANARY_SLACK = 0.1, 50


def order(site: Site, version: str, duration_s: float) -> float:
    value = {"service": SERVICE, "target_version": version, "duration": f"{duration_s:g}s"}
    site.store.put("keyed.op", f"rollout/{SERVICE}", json.dumps(value).encode())
    site.record(f"the operator orders {version} within {duration_s:g} s")
    return time.monotonic()


def state(site: Site) -> tuple[str, str]:
    value = json.loads(site.store.newest("keyed.status", f"rollout/{SERVICE}") or b"{}")
    return value.get("target_version", ""), value.get("state", "")


def case() -> int:
    layout = [(f"zone-{'ab'[index % 2]}", SERVICE) for index in range(6)]
    with Site(str(Path(__file__).parent), layout) as site:
        old, bad, good = site.machines[:2], site.machines[2:4], site.machines[4:]
        site.write_config([["part", "/part/", "idempotent", "1000ms", "300ms", 2, SERVICE]])
        for machine in old:
            machine.start()
        workers = [site.add_worker(machine, work_s=WORK_S) for machine in old]
        site.wait_ready(old)
        for machine in old:
            site.wait_served(machine, "/part/1")
        ended, taking = threading.Event(), threading.Event()
        answers: list[tuple[float, int]] = []

        def requester(index: int) -> None:
            machines = [*old, *bad]
            while not ended.wait(random.expovariate(RATE_PER_S / REQUESTERS)):
                ready = machines if taking.is_set() else old
                machine = ready[index % len(ready)]
                sent = time.monotonic()
                status, _ = machine.request(new_id(), f"/part/{index}", deadline_ms=2000)
                answers.append((sent, status))

        for index in range(REQUESTERS):
            threading.Thread(target=requester, args=(index,), daemon=True).start()
        time.sleep(4.0)  # All machines are in touch.

        ordered = order(site, "v2", ORDERED_S)
        for machine in bad:
            machine.start()
        in_touch = time.monotonic() + STABILITY_WINDOW_S
        new = [
            site.add_worker(
                machine, version="v2", work_s=WORK_S, fails=lambda: random.random() < 0.4
            )
            for machine in bad
        ]
        site.wait_ready(bad)
        taking.set()  # Requesters on the new machines get work too.
        while state(site) != ("v2", "rolled_back"):
            if time.monotonic() > ordered + ORDERED_S:
                site.record("v2 was not taken back in time")
                return NOT_RUN
            time.sleep(0.02)
        back = time.monotonic()
        site.record(
            f"the operator reads that v2 is rolled_back; it ran {len(new[0].arrived)}"
            f" and {len(new[1].arrived)} requests"
        )
        time.sleep(NEXT_ORDER_AFTER_S)
        if TROUBLE:
            order(site, "v3", 12.0)
            for machine in good:
                machine.start()
            workers += [site.add_worker(machine, version="v3", work_s=WORK_S) for machine in good]
        time.sleep(max(0.0, back + DRAIN_AFTER_S - time.monotonic()))
        for worker in new:
            worker.state = "draining"
            site.record(
                f"{worker.machine.name} (v2) reports draining: {worker.send(worker.body())}"
            )
        deadline = ordered + ORDERED_S
        time.sleep(max(0.0, deadline - time.monotonic()) + 0.5)
        ended.set()

        def count(group: list, first: float) -> int:
            return sum(first <= at <= deadline for worker in group for at, _ in worker.arrived)

        # What the new machines do before they are in touch does not count against the rule.
        of_bad, of_all = count(new, in_touch), count([*workers, *new], ordered)
        allowed = CANARY_SHARE * of_all + CANARY_SLACK
        failed = sum(status == 500 for at, status in answers if ordered <= at <= deadline)
        text = (
            f"v2 got {of_bad} of {of_all} requests, allowed {allowed:.0f}; {failed} ended with 500"
        )
        site.record(text)
        print(text)
        return BROKEN if of_bad > allowed else HELD


if __name__ == "__main__":
    main(case)
