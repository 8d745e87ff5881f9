"""A non-idempotent request with an empty chunked body, whose node beside the worker is killed."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import BROKEN, HELD, Site, main, new_id

REQUESTS = 4


def case() -> int:
    with Site(str(Path(__file__).parent), [("zone-a", "shop"), ("zone-b", "orders")]) as site:
        front, back = site.machines
        site.write_config(
            [
                ["lookup", "/lookup/", "idempotent", "2000ms", "300ms", 2, "orders"],
                ["order", "/order/", "non_idempotent", "2000ms", "1500ms", 1, "orders"],
            ]
        )
        for machine in site.machines:
            machine.start()
        site.add_worker(front)
        worker = site.add_worker(back, work_s=0.6)
        site.wait_ready()
        site.wait_served(front, "/lookup/1")
        time.sleep(1.0)
        answers: dict[str, int] = {}

        def send(attempt: str) -> None:
            site.record(f"{attempt} is sent to {front.name}: POST with an empty chunked body")
            answers[attempt], _ = front.request(attempt, "/order/1", method="POST", chunked=True)
            site.record(f"{attempt} is answered {answers[attempt]}")

        senders = [threading.Thread(target=send, args=(new_id(),)) for _ in range(REQUESTS)]
        for sender in senders:
            sender.start()
        time.sleep(0.3)
        if site.trouble:
            site.record(f"the node on {back.name} is killed")
            back.kill()
        for sender in senders:
            sender.join()
        time.sleep(0.5)
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
        print(f"answers {sorted(answers.values())}, runs {len(runs)}, breaches {broken}")
        return BROKEN if broken else HELD


if __name__ == "__main__":
    main(case)
