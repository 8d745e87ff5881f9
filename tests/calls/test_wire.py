"""Connections of callers over real sockets: framing, limits and invalid input."""

from __future__ import annotations

import contextlib
import resource
import threading
import time
import unittest

from citronrack.calls.limits import WireLimits

from .support import Client, Mesh, call, request, wait_for

QUICK = WireLimits(idle_s=1.0, head_s=0.3, body_idle_s=0.3, connections=8)

BAD_REQUESTS = {
    "conflicting framing": (
        b"POST /parts HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "two lengths": (
        b"POST /parts HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        400,
    ),
    "unknown coding": (
        b"POST /parts HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        501,
    ),
    "coding that hides the length": (
        b"POST /parts HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\nabc",
        400,
    ),
    "bad chunk": (
        b"POST /parts HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc",
        400,
    ),
    "negative length": (b"POST /parts HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n", 400),
    "huge length": (
        b"POST /parts HTTP/1.1\r\nhost: a\r\ncontent-length: " + b"9" * 30 + b"\r\n\r\n",
        400,
    ),
    "garbage": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    "folded header": (b"GET /parts HTTP/1.1\r\nhost: a\r\nx: a\r\n b\r\n\r\n", 400),
    "no host": (b"GET /parts HTTP/1.1\r\n\r\n", 400),
    "two hosts": (b"GET /parts HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
    "tunnel": (b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", 501),
    "absolute target": (b"GET http://a/parts HTTP/1.1\r\nhost: a\r\n\r\n", 400),
    "many headers": (
        b"GET /parts HTTP/1.1\r\nhost: a\r\n"
        + b"x-a: "
        + b"a" * 1000
        + b"\r\n" * 1
        + (b"x-b: " + b"b" * 1000 + b"\r\n") * 40
        + b"\r\n",
        431,
    ),
    "endless header": (b"GET /parts HTTP/1.1\r\nhost: a\r\nx: " + b"a" * 200_000, 431),
    "endless path": (b"GET /" + b"a" * 200_000, 431),
    "unknown expectation": (
        b"POST /parts HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\nexpect: more\r\n\r\n",
        417,
    ),
    "unknown route": (b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n", 404),
    "slow headers": (b"GET /parts HTTP/1.1\r\nho", 408),
    "slow body": (b"POST /parts HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc", 408),
}


class BadInputTest(unittest.TestCase):
    """Input that must not reach a target."""

    def test_bad_requests(self) -> None:
        """Guards against smuggled requests, unbounded headers and threads held by slow senders."""
        with Mesh(limits=QUICK) as mesh:
            node = mesh.add()
            for name, (data, status) in BAD_REQUESTS.items():
                with self.subTest(name), Client(node.call_address) as client:
                    # The node may have responded and closed before it read everything.
                    with contextlib.suppress(ConnectionError):
                        client.send(data)
                    reply = client.reply()
                    self.assertIn(reply.status, (status, 0) if len(data) > 65_536 else (status,))
                    if status != 404:
                        self.assertTrue(client.closed)
            self.assertEqual(node.target.calls, 0)
            self.assertEqual(call(node.call_address, "/parts/wheel").status, 200)

    def test_unknown_route_of_an_old_configuration(self) -> None:
        """Guards against a 404 for a route that a newer configuration adds.

        A 404 is final for callers; a 503 is not.
        """
        with Mesh() as mesh:
            node = mesh.add()
            mesh.publish(complete=False)
            reply = call(node.call_address, "/nowhere")
            self.assertEqual((reply.status, reply.verdict), (503, "not-run"))
            self.assertIn("retry-after", reply.headers)
            self.assertEqual(call(node.call_address, "/parts/wheel").status, 200)
            mesh.publish()
            self.assertEqual(call(node.call_address, "/nowhere").status, 404)

    def test_connection_limit(self) -> None:
        """Guards against one caller using up all threads of a node."""
        with Mesh(limits=QUICK) as mesh:
            node = mesh.add()
            clients = [Client(node.call_address) for _ in range(QUICK.connections)]
            self.assertEqual(clients[0].call("/parts").status, 200)
            self.assertTrue(wait_for(lambda: len(node.path.calls._connections) == 8))
            reply = call(node.call_address, "/parts")
            self.assertEqual((reply.status, reply.verdict), (503, "not-run"))
            for client in clients:
                client.socket.close()
            self.assertTrue(wait_for(lambda: not node.path.calls._connections))
            self.assertEqual(call(node.call_address, "/parts").status, 200)

    def test_internal_headers_of_callers_are_dropped(self) -> None:
        """Guards against callers that forge a context or strip headers through Connection."""
        with Mesh() as mesh:
            node = mesh.add()
            headers = (
                "x-citronrack-context: 9999.9999999999999.2.1.k.00\r\n"
                "x-citronrack-verdict: ran\r\nconnection: x-private, host\r\nx-private: 1\r\n"
            )
            reply = call(node.call_address, "/parts?do=headers", headers=headers)
            seen = reply.headers["x-seen"].split(",")
            self.assertIn("host", seen)
            self.assertIn("x-citronrack-context", seen)
            self.assertEqual(seen.count("x-citronrack-context"), 1)
            self.assertNotIn("x-citronrack-verdict", seen)
            self.assertNotIn("x-private", seen)
            spoofed = call(node.call_address, "/parts?do=spoof:500")
            self.assertEqual((spoofed.status, spoofed.verdict), (500, "ran"))
            self.assertNotIn("x-private", spoofed.headers)
            self.assertNotIn("x-citronrack-load", spoofed.headers)


class FramingTest(unittest.TestCase):
    """Complete responses to the right request."""

    def test_responses_of_all_framings(self) -> None:
        """Guards against truncated responses and lost lengths, over one node and over two."""
        with Mesh() as mesh:
            first, second = mesh.add(), mesh.add()
            for only in (first.name, second.name):
                mesh.publish(only=(only,))
                with self.subTest(only), Client(first.call_address) as client:
                    self.assertEqual(client.call("/parts?do=chunked").body, b"hello" * 3)
                    self.assertEqual(client.call("/parts?do=until-close").body, b"to the end")
                    self.assertEqual(client.call("/parts?do=large:300000").size, 300_000)
                    self.assertEqual(client.call("/parts?do=status:204").status, 204)
                    self.assertEqual(client.call("/parts?do=status:304").status, 304)
                    reply = client.call("/parts/abc", method="HEAD")
                    self.assertEqual(reply.headers["content-length"], "13")
                    self.assertEqual(client.call("/parts/x").body, b"1 /parts/x\n")
                    reply = client.call("/parts/x", method="POST", body=b"order")
                    self.assertEqual(reply.body, b"1 /parts/x\norder")

    def test_truncated_responses(self) -> None:
        """Guards against a truncated response that looks complete to the caller."""
        with Mesh() as mesh:
            first, second = mesh.add(), mesh.add()
            for only in (first.name, second.name):
                mesh.publish(only=(only,))
                for fault in ("truncate", "truncate-chunked"):
                    with self.subTest(only=only, fault=fault):
                        reply = call(first.call_address, f"/parts?do={fault}", method="POST")
                        self.assertFalse(reply.complete and reply.status == 200)

    def test_pipelined_requests(self) -> None:
        """Guards against responses in the wrong order."""
        with Mesh() as mesh:
            node = mesh.add()
            with Client(node.call_address) as client:
                paths = [f"/parts/{index}" for index in range(20)]
                client.send(b"".join(request(path) for path in paths))
                received = b""
                while received.count(b"/parts/") < len(paths):
                    received += client.socket.recv(65536)
                positions = [received.index(b"%b\n" % path.encode()) for path in paths]
                self.assertEqual(positions, sorted(positions))

    def test_surplus_responses(self) -> None:
        """Guards against an unsolicited response that is taken for the next request's."""
        with Mesh() as mesh:
            node = mesh.add()
            for pause_ms in ("", "20"):
                with self.subTest(pause_ms), Client(node.call_address) as client:
                    self.assertEqual(client.call(f"/parts?do=surplus:{pause_ms}").body, b"first\n")
                    # A surplus response can only be detected if it arrives before the request.
                    threading.Event().wait(2 * float(pause_ms or 0) / 1000)
                    self.assertEqual(client.call("/parts/own").body, b"1 /parts/own\n")

    def test_late_responses(self) -> None:
        """Guards against a late response that is taken for another request's.

        This would happen if the connection were not closed after the timeout.
        """
        with Mesh() as mesh:
            node = mesh.add()
            reply = call(node.call_address, "/hasty?do=delay:450", method="POST")
            self.assertEqual((reply.status, reply.verdict), (504, "may-have-run"))
            for index in range(5):
                path = f"/parts/{index}"
                self.assertEqual(call(node.call_address, path).body, f"1 {path}\n".encode())

    def test_malformed_response(self) -> None:
        """Guards against passing on bytes that are not HTTP."""
        with Mesh() as mesh:
            node = mesh.add()
            reply = call(node.call_address, "/parts?do=malformed", method="POST")
            self.assertEqual((reply.status, reply.verdict), (502, "may-have-run"))


class StreamingTest(unittest.TestCase):
    """Bodies that are too large to be buffered."""

    def test_large_bodies_in_bounded_memory(self) -> None:
        """Guards against buffering a body of 100 MB in a node."""
        with Mesh() as mesh:
            first, second = mesh.add(), mesh.add()
            mesh.publish(only=(second.name,))
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            part = b"x" * 65536
            with Client(first.call_address) as client:
                client.send(
                    b"POST /photos HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
                    % (len(part) * 1600)
                )
                for _ in range(1600):
                    client.send(part)
                self.assertEqual(client.reply().status, 200)
                reply = client.call("/photos?do=large:104857600")
            self.assertEqual(reply.size, 104_857_600)
            self.assertEqual(second.target.uploaded, len(part) * 1600)
            grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
            self.assertLess(grown_kb, 30_000)

    def test_offer_of_an_upgrade(self) -> None:
        """Guards against losing the body of a request whose head offers another protocol."""
        offers = (
            "connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABk\r\n",
            "connection: keep-alive\r\nconnection: upgrade\r\nupgrade: websocket\r\n",
        )
        framings = {
            "length": ("content-length: 5\r\n", b"order"),
            "chunks": ("transfer-encoding: chunked\r\n", b"5\r\norder\r\n0\r\n\r\n"),
            "none": ("content-length: 0\r\n", b""),
        }
        with Mesh() as mesh:
            node = mesh.add()
            for offer in offers:
                for name, (framing, data) in framings.items():
                    for late in (False, True):
                        with self.subTest(name, offer=offer, late=late):
                            head = f"POST /parts HTTP/1.1\r\nhost: a\r\n{framing}{offer}\r\n"
                            with Client(node.call_address) as client:
                                client.send(head.encode() + (b"" if late else data))
                                if late:
                                    time.sleep(0.02)
                                    client.send(data)
                                reply = client.reply()
                                self.assertEqual(reply.status, 200)
                                self.assertEqual(reply.body.partition(b"\n")[2], data and b"order")
                                self.assertEqual(client.call("/parts").status, 200)

    def test_offer_of_an_upgrade_in_an_older_version(self) -> None:
        """Guards against a target that is changed when the request is parsed again."""
        offer = "connection: upgrade\r\nupgrade: h2c\r\ncontent-length: 5\r\n"
        with Mesh() as mesh, Client(mesh.add().call_address) as client:
            client.send(f"POST /parts/HTTP/1.1 HTTP/1.0\r\n{offer}\r\norder".encode())
            self.assertEqual(client.reply().body, b"1 /parts/HTTP/1.1\norder")

    def test_chunked_upload(self) -> None:
        """Guards against a chunked upload that loses its framing between nodes."""
        with Mesh() as mesh:
            first, second = mesh.add(), mesh.add()
            mesh.publish(only=(second.name,))
            with Client(first.call_address) as client:
                client.send(
                    b"POST /photos HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
                )
                for _ in range(50):
                    client.send(b"2710\r\n" + b"y" * 10_000 + b"\r\n")
                client.send(b"0\r\n\r\n")
                self.assertEqual(client.reply().status, 200)
                self.assertEqual(client.call("/parts/next").status, 200)
            self.assertEqual(second.target.uploaded, 500_000)

    def test_expectations(self) -> None:
        """Guards against a missing 100 Continue, and one before a refusal."""
        with Mesh() as mesh:
            node = mesh.add()
            head = (
                b"POST /photos HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n"
                b"expect: 100-continue\r\n\r\n"
            )
            with Client(node.call_address) as client:
                client.send(head)
                self.assertIn(b" 100 ", client.socket.recv(1000))
                client.send(b"photo")
                self.assertEqual(client.reply().body, b"1 /photos\nphoto")
            mesh.publish(ready=False)
            with Client(node.call_address) as client:
                client.send(head)
                reply = client.reply()
                self.assertEqual((reply.status, reply.interim), (503, []))
                self.assertTrue(client.closed)

    def test_early_response(self) -> None:
        """Guards against an upload that continues after the target has rejected it."""
        with Mesh() as mesh:
            node = mesh.add()
            with Client(node.call_address) as client:
                client.send(
                    b"POST /photos?do=early HTTP/1.1\r\nhost: a\r\ncontent-length: 900000\r\n\r\n"
                    + b"x" * 70_000
                )
                self.assertEqual(client.reply().status, 413)
                self.assertTrue(client.closed)

    def test_truncated_upload(self) -> None:
        """Guards against a target that takes a truncated upload for a complete one."""
        with Mesh(limits=QUICK) as mesh:
            node = mesh.add()
            for end in ("closes", "stalls"):
                with self.subTest(end), Client(node.call_address) as client:
                    client.send(
                        b"POST /photos HTTP/1.1\r\nhost: a\r\ncontent-length: 900000\r\n\r\n"
                        + b"x" * 70_000
                    )
                    if end == "stalls":
                        self.assertEqual(client.reply().verdict, "may-have-run")
            self.assertTrue(wait_for(lambda: node.path.drainer.in_flight == 0))
            self.assertEqual(node.target.calls, 0)
            self.assertEqual(node.path.admission.load, 0)

    def test_caller_disconnects(self) -> None:
        """Guards against slots and connections held for disconnected callers."""
        with Mesh() as mesh:
            first, second = mesh.add(), mesh.add()
            mesh.publish(only=(second.name,))
            with Client(first.call_address) as client:
                client.send(request("/photos?do=delay:1500"))
                self.assertTrue(wait_for(lambda: second.target.running == 1))
            self.assertTrue(wait_for(lambda: second.path.admission.load == 0, limit_s=1.2))
            self.assertEqual(second.target.running, 1)
