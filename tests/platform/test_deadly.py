"""A request that ends its targets, with real processes."""

from __future__ import annotations

import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from .installation import Installation
from .target import TargetStandIn
from .test_whole_path import call, wait_for

DEADLY = "poison=1"
SIZE = 6
WORK_S = 0.1
TRIES = 12
PAUSE_S = 0.2
RETRIES = 4
RETRY_AFTER_S = 0.1
MAX_ENDED = 3


class DeadlyRequestTest(unittest.TestCase):
    """Some targets end; the service goes on."""

    def targets(self, mesh: Installation) -> list[TargetStandIn]:
        """Return the targets of all instances."""
        return [instance.target for instance in mesh.instances if instance.target is not None]

    def send_all(self, mesh: Installation, path: str, method: str) -> list[int]:
        """Send a deadly request again and again while others are under way; return its statuses."""
        stopping = threading.Event()
        innocent: list[int] = []

        def send(caller: int) -> None:
            number = 0
            while not stopping.is_set():
                number += 1
                name = f"{caller}-{number}"
                for attempt in range(RETRIES):
                    request_id = f"i{name}-{attempt}"
                    status, _ = call(mesh.instances[caller], f"/catalogue/{name}", request_id)
                    if status == 200:
                        break
                    time.sleep(RETRY_AFTER_S)
                innocent.append(status)

        statuses: list[int] = []
        with ThreadPoolExecutor(SIZE) as executor:
            for caller in range(SIZE):
                executor.submit(send, caller)
            for number in range(TRIES):
                instance = mesh.instances[number % SIZE]
                statuses.append(call(instance, f"{path}?{DEADLY}", f"d{number}", method=method)[0])
                time.sleep(PAUSE_S)
            stopping.set()
        self.assertGreater(innocent.count(200), 0.9 * len(innocent), innocent)
        return statuses

    def check(self, *, zones: int, path: str = "/catalogue/x", method: str = "GET") -> None:
        """Check that few targets end, that the cause is refused, and that the others serve."""
        options = {"size": SIZE, "zones": zones, "services": ("catalogue",), "work_s": WORK_S}
        with Installation(**options) as mesh:  # type: ignore[arg-type]
            for index, instance in enumerate(mesh.instances):
                warm = (instance, "/catalogue/x", f"w{index}")
                self.assertTrue(wait_for(lambda w=warm: call(*w)[0] == 200))
            targets = self.targets(mesh)
            for target in targets:
                target.deadly = DEADLY
            statuses = self.send_all(mesh, path, method)
            ended = [target for target in targets if target.ended.is_set()]
            self.assertTrue(2 <= len(ended) <= MAX_ENDED, len(ended))
            self.assertEqual(set(statuses[-TRIES // 2 :]), {503})
            for instance in mesh.instances:
                self.assertEqual(call(instance, "/catalogue/y", f"a-{instance.name}")[0], 200)
            runs = [run for target in targets for run, _ in target.executed if run.startswith("d")]
            if method == "POST":
                self.assertEqual(len(runs), len(set(runs)))

    def test_idempotent_request(self) -> None:
        """Guards against a request that ends each target of its service, one after the other."""
        for zones in (1, 2):
            with self.subTest(zones=zones):
                self.check(zones=zones)

    def test_non_idempotent_request(self) -> None:
        """Guards against the same with orders, which run once at most also then."""
        self.check(zones=2, path="/catalogue-order/x", method="POST")
