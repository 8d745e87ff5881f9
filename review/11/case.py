"""A version that fails under load is completed, though all nodes beside its workers stopped it."""

from __future__ import annotations

import json
import random
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import parts2 as parts  # noqa: E402

ORDER_S = 16.0
AFTER_S = 10.0
"""Time after the deadline in which requests are still sent."""

CALLS_PER_S = 170
"""Requests a second of all requesters, as media has them on spoorhout-hosted."""

CALLERS = 24
WORK_S = 0.02
DEADLINE_MS = 1000
FAIL_SHARE = 0.25
LOAD_PER_S = 45
"""Requests a second from which on a worker of the bad version fails a part of them."""

CANARY_SHARE, CANARY_SLACK, ROLLBACK_S, IN_TOUCH_S = 0.1, 50, 5.0, 3.0
BAD_ANSWERS = 50
KEY = "rollout/look"


class Version2(parts.Worker):
    """A worker of the new version."""

    def __init__(self, *args: object, **fields: object) -> None:
        self.bad: list[float] = []
        self.arrivals: list[float] = []
        self.random = random.Random(self.__class__.__name__)
        super().__init__(*args, version="v2", **fields)  # type: ignore[arg-type]

    def _answer(
        self, connection: socket.socket, reader: parts.Reader, first: str, headers: dict[str, str]
    ) -> bool:
        """Answer 500 to a part of the requests while many arrive, and all others as usual."""
        began = parts.now()
        self.arrivals = [at for at in self.arrivals if at > began - 1.0] + [began]
        loaded = len(self.arrivals) > LOAD_PER_S
        if not (parts.trouble() and loaded and self.random.random() < FAIL_SHARE):
            return super()._answer(connection, reader, first, headers)
        if reader.body(headers) is None:
            return False
        attempt = headers.get("attempt-id", "")
        run = parts.Run(self.id, attempt, first.split(" ")[1])
        self.runs.append(run)
        time.sleep(self.work_s)
        run.ended, run.end = parts.now(), "failed"
        self.bad.append(run.ended)
        self.record(f"worker {self.id} runs {attempt} and fails it")
        lines = ["HTTP/1.1 500 Internal Server Error", f"Attempt-Id: {attempt}"]
        lines += [f"Instance-Signature: {self.id}.{attempt}", "Content-Length: 0", "", ""]
        connection.sendall("\r\n".join(lines).encode())
        return True


class Case:
    """The roll-out, its operator and the requesters."""

    def __init__(self, mesh: parts.Mesh, record: parts.Record) -> None:
        self.mesh, self.record = mesh, record
        self.states: list[str] = []
        self.stopping = threading.Event()
        self.callers_at = list(mesh.nodes[:3])
        self.sent: dict[str, float] = {}
        self.statuses: dict[str, int] = {}

    def traffic(self, caller: int) -> None:
        """Send lookups and orders at the machines that have requesters."""
        chooser = random.Random(caller)
        number = 0
        while not self.stopping.wait(max(0.0, CALLERS / CALLS_PER_S - WORK_S)):
            number += 1
            attempt = f"c{caller}-{number}"
            node = chooser.choice(self.callers_at)
            path = "/order/new" if number % 4 == 0 else "/look/up"
            self.sent[attempt] = parts.now()
            self.statuses[attempt] = parts.call(node, path, attempt, DEADLINE_MS, self.record)

    def operate(self) -> None:
        """Read the status as the operator does; stop the old workers at `completed`."""
        while not self.stopping.wait(0.02):
            with self.mesh.store.changed:
                entry = self.mesh.store.newest.get("keyed.status", {}).get(KEY)
            state = json.loads(entry[1])["state"] if entry else ""
            if state and self.states[-1:] != [state]:
                self.states.append(state)
                self.record(f"the operator reads {state}")
                if state == "completed":
                    for worker in self.mesh.workers[:3]:
                        worker.crash()

    def play(self) -> bool:
        """Order the roll-out; return whether the rule held."""
        threads = [threading.Thread(target=self.traffic, args=(n,)) for n in range(CALLERS)]
        threads.append(threading.Thread(target=self.operate))
        new = []
        for node in self.mesh.nodes[3:]:
            node.start()
            worker = Version2(f"i-{node.name}", node=node, work_s=WORK_S, record=self.record)
            self.mesh.workers.append(worker)
            worker.begin_reports()
            new.append(worker)
        order = {"service": "look", "target_version": "v2", "duration": f"{ORDER_S:.0f}s"}
        self.mesh.store.put("keyed.op", KEY, json.dumps(order).encode())
        ordered_at = parts.now()
        self.record(f"the operator orders v2 within {ORDER_S:.0f} s")
        for thread in threads:
            thread.start()
        time.sleep(IN_TOUCH_S + 3.0)
        self.callers_at += self.mesh.nodes[3:]
        time.sleep(ordered_at + ORDER_S + AFTER_S - parts.now())
        self.stopping.set()
        for thread in threads:
            thread.join()
        return self.judge(new, ordered_at)

    def judge(self, new: list[Version2], ordered_at: float) -> bool:
        """Return whether the bad version got no request too late after its 50th bad answer.

        The share is only recorded: with these steps it is nearly used up before a worker fails.
        """
        ok = sum(status == 200 for status in self.statuses.values())
        self.record(f"{len(self.sent)} requests were sent, {ok} answered 200")
        if ok < len(self.sent) / 2 or not self.states:
            raise RuntimeError("the mesh did not serve, or the order was not taken")
        bad = sorted(at for worker in new for at in worker.bad)
        self.record(f"read: {self.states}; {len(bad)} bad answers of v2")
        v2 = [run for worker in new for run in worker.runs]
        end = ordered_at + ORDER_S
        exposed = sum(ordered_at <= self.sent[run.attempt] <= end for run in v2)
        reached = sum(ordered_at <= self.sent[run.attempt] <= end for run in self.mesh.runs())
        allowed = CANARY_SLACK + CANARY_SHARE * reached
        self.record(f"v2 got {exposed} requests in the time of its order, allowed {allowed:.0f}")
        if len(bad) < BAD_ANSWERS:
            return True
        late = [run for run in v2 if self.sent[run.attempt] > bad[BAD_ANSWERS - 1] + ROLLBACK_S]
        self.record(f"v2 got {len(late)} requests sent over 5 s after its 50th bad answer")
        return not late


def main() -> int:
    """Return the exit code of the case."""
    record = parts.Record(FOLDER)
    mesh = parts.Mesh(["look"] * 6, record, zones=3, late=range(3, 6))
    case = Case(mesh, record)
    with mesh:
        look = {"name": "r-look", "prefix": "/look/", "kind": "idempotent", "max_attempts": 2}
        buy = {"name": "r-order", "prefix": "/order/", "kind": "non_idempotent", "max_attempts": 2}
        more = {"timeout": "1000ms", "target_latency": "400ms", "priority": 1, "service": "look"}
        mesh.configure([{**look, **more}, {**buy, **more}])
        for node in mesh.nodes[:3]:
            mesh.add_worker(node, f"i-{node.name}", WORK_S).begin_reports()
        mesh.wait_ready()
        time.sleep(IN_TOUCH_S + 1.0)
        if parts.call(mesh.nodes[0], "/look/up", "first", DEADLINE_MS) != 200:
            record("could not run: the mesh does not serve")
            return 2
        case.sent["first"], case.statuses["first"] = 0.0, 200
        held = case.play()
    record("the rule held" if held else "the rule was broken")
    return 0 if held else 1


if __name__ == "__main__":
    parts.run_case(main)
