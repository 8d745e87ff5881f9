"""Callers that leave while bytes of theirs lie unread."""

from __future__ import annotations

import socket
import threading
import time
import unittest
from collections.abc import Callable

from citronrack.calls._sockets import peer_has_closed

from .support import Client, Mesh, MeshNode, ScriptedServer, call, request, wait_for

WORK_S = 1.5
NOTICED_S = 8.0
"""Longest wait for what each node notices within a quarter of a second, on a busy machine; the
request itself would last longer."""

HEAD = b"POST /photos/late HTTP/1.1\r\nhost: h\r\n"
UPLOADS = {
    "length": HEAD + b"content-length: 90000\r\n\r\n" + bytes(90_000),
    "chunks": HEAD + b"transfer-encoding: chunked\r\n\r\n"
    b"ffff\r\n" + bytes(0xFFFF) + b"\r\n0\r\n\r\n",
}
"""Requests whose bodies are withheld until a slot is free, by their framing."""


class UnreadBytesTest(unittest.TestCase):
    """Requests of callers that have closed their connections."""

    def busy_mesh(self) -> tuple[Mesh, MeshNode, MeshNode]:
        """Return a mesh whose first node routes to the target of the second one."""
        mesh = Mesh(slots=1)
        self.addCleanup(mesh.__exit__)
        first, second = mesh.add(), mesh.add(delay_s=WORK_S)
        mesh.publish(only=(second.name,))
        return mesh, first, second

    def occupy(self, address: tuple[str, int]) -> Callable[[], None]:
        """Take the only slot of the target; return a function that waits until it is free."""
        busy = threading.Thread(target=call, args=(address, "/photos/busy"))
        busy.start()
        time.sleep(0.2)
        return busy.join

    def test_withheld_body_of_a_caller_that_has_left(self) -> None:
        """Guards against uploads that run although their sender left while they were queued."""
        for framing, upload in UPLOADS.items():
            for hops in (1, 2):
                with self.subTest(framing=framing, hops=hops):
                    _, first, second = self.busy_mesh()
                    address = (first if hops == 2 else second).call_address
                    wait = self.occupy(address)
                    with Client(address) as client:
                        client.send(upload)
                        time.sleep(0.2)
                    wait()
                    time.sleep(0.5)
                    self.assertEqual(second.target.calls, 1)

    def test_request_with_another_one_behind_it(self) -> None:
        """Guards against work that goes on, and a request behind it that begins after the close."""
        heads: list[bytes] = []
        dropped = threading.Event()

        def work(connection: socket.socket) -> None:
            heads.append(connection.recv(4096))
            connection.settimeout(2 * NOTICED_S)
            if not connection.recv(1):
                dropped.set()

        server = ScriptedServer(work)
        self.addCleanup(server.close)
        for hops in (1, 2):
            with self.subTest(hops=hops), Mesh() as mesh:
                first, second = mesh.add(), mesh.add(address=server.address)
                mesh.publish(only=(second.name,))
                heads.clear()
                dropped.clear()
                with Client((first if hops == 2 else second).call_address) as client:
                    client.send(request("/photos/one"))
                    self.assertTrue(wait_for(lambda: heads))
                    client.send(request("/photos/behind"))
                    time.sleep(0.1)
                self.assertTrue(dropped.wait(NOTICED_S))
                time.sleep(0.5)
                self.assertEqual(len(heads), 1)

    def test_node_in_front_leaves(self) -> None:
        """Guards against a queued upload that runs after the node that sent it has gone."""
        _, _, second = self.busy_mesh()
        wait = self.occupy(second.call_address)
        with Client(second.path.deliveries.address) as client:
            client.send(UPLOADS["length"])
            time.sleep(0.2)
        wait()
        time.sleep(0.5)
        self.assertEqual(second.target.calls, 1)


class PeerHasClosedTest(unittest.TestCase):
    """The question itself."""

    def pair(self) -> tuple[socket.socket, socket.socket]:
        """Return both ends of a TCP connection."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        return near, far

    def test_close_behind_data(self) -> None:
        """Guards against data that hides the close behind it."""
        near, far = self.pair()
        self.assertFalse(peer_has_closed(near))
        far.sendall(b"x")
        self.assertTrue(wait_for(lambda: near.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)))
        self.assertFalse(peer_has_closed(near))
        far.close()
        self.assertTrue(wait_for(lambda: peer_has_closed(near)))
        self.assertEqual(near.recv(9), b"x")

    def test_reset_and_own_close(self) -> None:
        """Guards against an error in place of an answer."""
        near, far = self.pair()
        near.sendall(b"unread")
        time.sleep(0.05)
        far.close()
        self.assertTrue(wait_for(lambda: peer_has_closed(near)))
        near.close()
        self.assertTrue(peer_has_closed(near))
