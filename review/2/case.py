"""Orders with an empty chunked body are answered 503 though they run, if a node is killed."""

from __future__ import annotations

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import BROKEN, HELD, Site, main, new_id

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDERS = 4
WORK_S = 0.6


def case() -> int:
    layout = [("zone-a", "shop"), ("zone-b", "orders")]
    with Site(str(Path(__file__).parent), layout) as site:
        front, back = site.machines
        site.write_config(
            [
                ["lookup", "/lookup/", "idempotent", "1000ms", "300ms", 2, "orders"],
                ["order", "/order/", "non_idempotent", "1200ms", "400ms", 1, "orders"],
            ]
        )
        for machine in site.machines:
            machine.start()
        site.add_worker(front)
        worker = site.add_worker(back, work_s=WORK_S)
        site.wait_ready()
        for machine in site.machines:
            site.wait_served(machine, "/lookup/1")
        time.sleep(1.0)
        answers: dict[str, int] = {}

        def send(attempt: str) -> None:
            site.record(f"{attempt} is sent to {front.name}: POST with an empty chunked body")
            answers[attempt], _ = front.request(attempt, "/order/1", method="POST", chunked=True)
            site.record(f"{attempt} is answered {answers[attempt]}")

        senders = [threading.Thread(target=send, args=(new_id(),)) for _ in range(ORDERS)]
        for sender in senders:
            sender.start()
        time.sleep(WORK_S / 2)
        if TROUBLE:
            site.record(f"the node on {back.name} is killed")
            back.kill()
        for sender in senders:
            sender.join()
        time.sleep(1.0)
        runs = [attempt for _, attempt in worker.arrived]
        broken = 0
        for attempt, status in answers.items():
            count = runs.count(attempt)
            if status in (408, 421, 429, 503) and count:
                site.record(f"REFUSED: {attempt} was answered {status} and has run")
                broken += 1
            if count > 1:
                site.record(f"TWICE: {attempt} has run {count} times")
                broken += 1
        counts = {status: list(answers.values()).count(status) for status in set(answers.values())}
        print(f"answers {counts}, {broken} breaches")
        return BROKEN if broken else HELD


if __name__ == "__main__":
    main(case)
