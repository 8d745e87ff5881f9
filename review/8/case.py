"""Requesters leave while bytes of theirs are still unread; does their work stop?"""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import parts2 as parts  # noqa: E402

WORK_S = 1.0
CAPACITY = 2
DEADLINE_MS = 5000
GIVE_UP_S = 0.5
REQUESTERS = 10  # At each of two nodes, in each round.
LEAVING = 3  # 0.3 of them
ROUNDS = 3
UPLOAD_BYTES = 90_000
"""Body of an upload; the node's machine takes it whole, and so the close behind it."""

LATE_S = 0.5
UPLOAD, BEHIND, PLAIN = "upload", "lookup with one behind it", "lookup"


class Sent:
    """A request, its kind, and when its requester has left."""

    def __init__(self, attempt: str, kind: str) -> None:
        self.attempt, self.kind = attempt, kind
        self.left_at = 0.0
        self.status = 0


class Requester:
    """Sends an upload, a lookup, or a lookup and another one behind it."""

    def __init__(self, node: parts.Node, name: str, kind: str, record: parts.Record) -> None:
        self.node, self.name, self.kind, self.record = node, name, kind, record
        self.leaves = False
        self.sent: list[Sent] = []

    def run(self) -> None:
        """Send, and leave early or wait for the answers."""
        address = self.node.host, self.node.calls
        with socket.create_connection(address, timeout=1.0) as connection:
            connection.settimeout(DEADLINE_MS / 1000 + 2.5)
            if self.kind == UPLOAD:
                self._send(connection, "POST /photo/up", f"Content-Length: {UPLOAD_BYTES}\r\n")
                connection.sendall(bytes(UPLOAD_BYTES))
            else:
                self._send(connection, "GET /look/up")
            began = parts.now()
            if self.kind == BEHIND:
                time.sleep(0.1)
                self._send(connection, "GET /look/up")
            if self.leaves:
                time.sleep(began + GIVE_UP_S - parts.now())
                left = parts.unacknowledged(connection)
                if left:
                    raise RuntimeError(f"{left} bytes have not reached the node's machine")
            else:
                self._read(connection)
        if self.leaves:
            for request in self.sent:
                request.left_at = parts.now()
            self.record(f"requester {self.name} leaves")

    def _send(self, connection: socket.socket, line: str, more: str = "") -> None:
        request = Sent(f"{self.name}-{len(self.sent)}", self.kind)
        self.sent.append(request)
        head = f"{line} HTTP/1.1\r\nHost: {parts.HOST}\r\nAttempt-Id: {request.attempt}\r\n"
        connection.sendall(f"{head}Deadline-Ms: {DEADLINE_MS}\r\n{more}\r\n".encode())
        self.record(f"requester {self.name} sends {request.attempt} ({self.kind})")

    def _read(self, connection: socket.socket) -> None:
        reader = parts.Reader(connection)
        for request in self.sent:
            answer = reader.head()
            if answer is None or reader.body(answer[1]) is None:
                return
            request.status = int(answer[0].split(" ")[1])
            self.record(f"requester {self.name} gets {request.status} for {request.attempt}")


def play_round(requesters: list[Requester]) -> list[Sent]:
    """Start requesters at once, those that leave a moment later; return what they have sent."""
    threads = [threading.Thread(target=requester.run) for requester in requesters]
    for requester, thread in sorted(
        zip(requesters, threads, strict=True), key=lambda pair: pair[0].leaves
    ):
        if requester.leaves:
            time.sleep(0.02)
        thread.start()
    for thread in threads:
        thread.join()
    for requester in requesters:
        if requester.leaves and not all(request.left_at for request in requester.sent):
            raise RuntimeError(f"requester {requester.name} has not left as it should")
    time.sleep(1.5 * WORK_S)
    return [request for requester in requesters for request in requester.sent]


def play(mesh: parts.Mesh, kinds: tuple[str, ...], record: parts.Record) -> list[Sent]:
    """Play all rounds with requesters of some kinds in turn."""
    sent: list[Sent] = []
    for number in range(ROUNDS):
        requesters = []
        for index, node in enumerate(mesh.nodes[:2]):
            for place in range(REQUESTERS):
                kind = kinds[place % len(kinds)]
                name = f"{kind[0]}{len(kinds)}{number}{index}{place}"
                requesters.append(Requester(node, name, kind, record))
                last = place >= REQUESTERS - LEAVING
                requesters[-1].leaves = parts.trouble() and last
        sent += play_round(requesters)
    return sent


def judge(mesh: parts.Mesh, sent: list[Sent], record: parts.Record) -> bool:
    """Return whether the rule GONE held."""
    runs = {run.attempt: run for run in mesh.runs()}
    left = [request for request in sent if request.left_at]
    late = [r for r in left if r.attempt in runs and runs[r.attempt].began > r.left_at + LATE_S]
    record(f"sent {len(sent)}, answered with 200: {sum(r.status == 200 for r in sent)}")
    record(f"left by their requesters: {len(left)}")
    record(f"reached a worker over {LATE_S} s after the requester had left: {len(late)}")
    for request in late:
        after_s = runs[request.attempt].began - request.left_at
        record(f"  {request.attempt} ({request.kind}) {after_s:.2f} s after it")
    running = [
        r
        for r in left
        if r.kind != UPLOAD and r.attempt in runs and runs[r.attempt].began <= r.left_at + LATE_S
    ]
    at_work = [r for r in running if runs[r.attempt].ended > r.left_at + LATE_S]
    if running:
        record(f"lookups still at work {LATE_S} s after it: {len(at_work)} of {len(running)}")
        for kind in (PLAIN, BEHIND):
            of = sum(r.kind == kind for r in running)
            record(f"  {kind}: {sum(r.kind == kind for r in at_work)} of {of}")
    return len(late) <= 3 and len(at_work) <= len(running) / 4


def main() -> int:
    """Return the exit code of the case."""
    record = parts.Record(FOLDER)
    with parts.Mesh(["photo", "photo", "look", "look"], record) as mesh:
        common = {"timeout": "5000ms", "target_latency": "1000ms", "priority": 0}
        photo = {"name": "r-photo", "prefix": "/photo/", "kind": "upload", "service": "photo"}
        look = {"name": "r-look", "prefix": "/look/", "kind": "idempotent", "service": "look"}
        mesh.configure([{**common, **route, "max_attempts": 2} for route in (photo, look)])
        for node in mesh.nodes:
            capacity = CAPACITY if node.service == "photo" else 20
            work_s = WORK_S if node.service == "photo" else 2 * WORK_S
            mesh.add_worker(node, f"i-{node.name}", work_s, capacity=capacity).begin_reports()
        mesh.wait_ready()
        time.sleep(4.0)
        if parts.call(mesh.nodes[0], "/look/up", "first", DEADLINE_MS) != 200:
            record("could not run: the mesh does not serve")
            return 2
        uploads = play(mesh, (UPLOAD,), record)
        lookups = play(mesh, (BEHIND, PLAIN), record)
        held = [judge(mesh, sent, record) for sent in (uploads, lookups)]
    record("the rule held" if all(held) else "the rule was broken")
    return 0 if all(held) else 1


if __name__ == "__main__":
    parts.run_case(main)
