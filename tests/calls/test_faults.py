"""Verdicts, retries and shares under faults, compared with what the targets executed."""

from __future__ import annotations

import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from random import Random

from attrs import frozen

from citronrack.calls import CallContext, ContextCodec, RouteShare
from citronrack.clock import SystemClock

from .support import KEY, Client, Mesh, Reply, call, wait_for

SEEDS = range(4)
CALLERS = 6
CALLS_PER_CALLER = 60
FAULTS = {
    "reset": 0.03,
    "truncate": 0.03,
    "truncate-chunked": 0.02,
    "malformed": 0.02,
    "delay:30": 0.1,
    "delay:400": 0.01,
    "fail:500": 0.03,
    "spoof:503": 0.03,
    "surplus": 0.02,
    "chunked": 0.05,
}


@frozen
class SentCall:
    """A call and its response."""

    request_id: str
    method: str
    reply: Reply


def send_calls(mesh: Mesh, seed: int, caller: int) -> list[SentCall]:
    """Send calls one after the other, over a persistent connection where possible."""
    random = Random(f"{seed}/{caller}")
    sent: list[SentCall] = []
    client: Client | None = None
    for index in range(CALLS_PER_CALLER):
        node = random.choice(mesh.nodes)
        request_id = f"{seed}-{caller}-{index}"
        method = random.choice(("GET", "POST", "POST"))
        prefix = random.choice(("/parts", "/parts", "/hasty"))
        body = random.randbytes(random.choice((0, 10, 200_000))) if method == "POST" else b""
        if client is None:
            client = Client(node.call_address)
        reply = client.call(
            f"{prefix}/{request_id}",
            method=method,
            body=body,
            headers=f"x-request-id: {request_id}\r\n",
        )
        sent.append(SentCall(request_id, method, reply))
        if not reply.complete or reply.headers.get("connection") == "close":
            client.socket.close()
            client = None
    if client is not None:
        client.socket.close()
    return sent


class AtMostOnceTest(unittest.TestCase):
    """Random faults of targets and restarts, with several seeds."""

    def test_verdicts_against_executed_requests(self) -> None:
        """Guards against orders that run twice, refusals that ran and swapped responses."""
        for seed in SEEDS:
            with self.subTest(seed=seed), Mesh(slots=4) as mesh:
                for index in range(3):
                    mesh.add(
                        faults=FAULTS, random=Random(seed * 10 + index), reset_before_read=0.03
                    )
                with ThreadPoolExecutor(CALLERS) as callers:
                    futures = [
                        callers.submit(send_calls, mesh, seed, caller) for caller in range(CALLERS)
                    ]
                    for round_ in range(4):
                        wait_for(lambda count=round_ + 1: len(self._executed(mesh)) > 40 * count)
                        mesh.nodes[round_ % 3].target.disconnect()
                    sent = [entry for future in futures for entry in future.result()]
                self._check(sent, Counter(self._executed(mesh)))

    @staticmethod
    def _executed(mesh: Mesh) -> list[str]:
        return [request_id for node in mesh.nodes for request_id in list(node.target.executed)]

    def _check(self, sent: list[SentCall], executed: Counter[str]) -> None:
        verdicts = Counter(entry.reply.verdict for entry in sent)
        self.assertGreater(verdicts["ran"], 100)
        self.assertGreater(verdicts["may-have-run"], 5)
        for entry in sent:
            runs = executed[entry.request_id]
            if entry.method == "POST":
                self.assertLessEqual(runs, 1, entry.request_id)
            if entry.reply.verdict == "not-run":
                self.assertEqual(runs, 0, entry.request_id)
                self.assertIn(entry.reply.status, (503,))
            if entry.reply.verdict == "ran":
                self.assertGreaterEqual(runs, 1, entry.request_id)
            if entry.reply.complete and entry.reply.body.startswith(b"1 /"):
                self.assertIn(entry.request_id.encode() + b"\n", entry.reply.body)

    def test_refusals_under_overload(self) -> None:
        """Guards against refused calls that ran: at the queue limit, the deadline or in a drain."""
        with Mesh(slots=2) as mesh:
            nodes = [mesh.add(delay_s=0.02), mesh.add(delay_s=0.02)]
            with ThreadPoolExecutor(40) as callers:
                futures = [
                    callers.submit(
                        call,
                        nodes[index % 2].call_address,
                        f"/hasty/{index}",
                        method="POST",
                        headers=f"x-request-id: {index}\r\n",
                    )
                    for index in range(300)
                ]
                wait_for(lambda: len(self._executed(mesh)) > 60)
                nodes[1].path.drainer.begin()
                replies = [future.result() for future in futures]
            executed = Counter(self._executed(mesh))
            refused = [i for i, reply in enumerate(replies) if reply.verdict == "not-run"]
            self.assertGreater(len(refused), 20)
            self.assertEqual([i for i in refused if executed[str(i)]], [])
            ran = [i for i, reply in enumerate(replies) if reply.verdict == "ran"]
            self.assertEqual([executed[str(i)] for i in ran], [1] * len(ran))
            self.assertLessEqual(max(node.target.peak_running for node in nodes), 2)


class RetryTest(unittest.TestCase):
    """Which calls are retried, and how often."""

    def test_refused_orders_go_to_another_target(self) -> None:
        """Guards against an order that fails although another target would have taken it."""
        with Mesh() as mesh:
            first, second, third = mesh.add(), mesh.add(), mesh.add()
            second.path.drainer.begin()
            third.target.stop()
            for _ in range(30):  # fills the retry budget
                call(first.call_address, "/parts", method="POST")
            replies = [
                call(first.call_address, "/parts", method="POST", body=b"x" * size)
                for size in (0, 10, 200_000)
            ]
            self.assertEqual({reply.status for reply in replies} - {200, 503}, set())
            ran = [node.target.calls for node in (first, second, third)]
            self.assertEqual(ran[1:], [0, 0])

    def test_evacuated_zone(self) -> None:
        """Guards against refusals in a zone that is evacuated which use up the attempts of a call.

        The asking nodes do not know of the evacuation yet.
        """
        with Mesh() as mesh:
            for zone in "aaaaab":
                mesh.add(zone=zone)
            for evacuated, status in (("a", 200), ("b", 503)):
                mesh.evacuated.add(evacuated)
                for node in mesh.nodes:
                    reply = call(node.call_address, "/photos", method="POST", body=b"x" * 300_000)
                    self.assertEqual(reply.status, status)
                self.assertEqual([node.target.calls for node in mesh.nodes], [0] * 5 + [6])
            self.assertIn("retry-after", reply.headers)

    def test_retries_stay_within_the_budget(self) -> None:
        """Guards against retries that multiply the load when all targets fail."""
        with Mesh() as mesh:
            for _ in range(3):
                mesh.add(faults={"fail:503": 1.0})
            with Client(mesh.nodes[0].call_address) as client:
                for _ in range(200):
                    self.assertEqual(client.call("/parts").status, 503)
            ran = sum(node.target.calls for node in mesh.nodes)
            self.assertLessEqual(ran, 200 + 21)
            self.assertGreater(ran, 205)

    def test_nested_calls_share_their_retries(self) -> None:
        """Guards against retries at each level of nested calls, which would multiply."""
        codec = ContextCodec(key=KEY, clock=SystemClock(), random=Random(1))
        spent = codec.encode(CallContext(SystemClock().monotonic() + 5, 0, 3, "k"))
        with Mesh() as mesh:
            for _ in range(3):
                mesh.add(faults={"fail:503": 1.0})
            header = f"x-citronrack-context: {spent.decode()}\r\n"
            for _ in range(30):
                call(mesh.nodes[0].call_address, "/parts", headers=header)
            self.assertEqual(sum(node.target.calls for node in mesh.nodes), 30)

    def test_moves_divide_calls(self) -> None:
        """Guards against a new version that exceeds its share, and nested calls that switch."""
        codec = ContextCodec(key=KEY, clock=SystemClock(), random=Random(1))
        with Mesh(slots=50) as mesh:
            old, new = mesh.add(), mesh.add(service_version="2")
            for share, least, most in ((0.0, 0, 0), (0.2, 40, 110), (1.0, 400, 400)):
                mesh.publish(shares={"parts": RouteShare("move", "1", "2", share)})
                before = new.target.calls
                with Client(old.call_address) as client:
                    for _ in range(400):
                        client.call("/parts")
                self.assertTrue(least <= new.target.calls - before <= most, share)
            mesh.publish(shares={"parts": RouteShare("move", "1", "2", 0.5)})
            for key in ("a", "b", "c", "d"):
                context = codec.encode(CallContext(SystemClock().monotonic() + 5, 0, 1, key))
                header = f"x-citronrack-context: {context.decode()}\r\n"
                bodies = {call(old.call_address, "/parts", headers=header).body for _ in range(5)}
                self.assertEqual(len(bodies), 1)

    def test_depth_limit(self) -> None:
        """Guards against cycles of nested calls."""
        codec = ContextCodec(key=KEY, clock=SystemClock(), random=Random(1))
        with Mesh() as mesh:
            node = mesh.add()
            for depth, status in ((14, 200), (15, 508)):
                context = codec.encode(CallContext(SystemClock().monotonic() + 5, 0, depth, "k"))
                header = f"x-citronrack-context: {context.decode()}\r\n"
                reply = call(node.call_address, "/parts", headers=header)
                self.assertEqual(reply.status, status)
            self.assertEqual(node.target.calls, 1)
