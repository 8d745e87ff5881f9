"""Frames and messages from other nodes, including faulty and malicious ones."""

from __future__ import annotations

import unittest
from typing import Any, get_args, get_origin
from unittest.mock import patch

import attrs
import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from citronrack import distribution, membership
from citronrack.bench.distribution_net import make_fleet
from citronrack.clock import ManualClock
from citronrack.codec import MAX_MESSAGE_BYTES
from citronrack.distribution.messages import PullRecords, RecordsPage
from citronrack.errors import MessageRejected
from citronrack.transport import Send, message_codec, pack, unpack
from citronrack.transport.framing import MAC_BYTES, MAGIC
from citronrack.transport.zmq_transport import ZmqTransport

KEY = bytes(range(32))
LARGEST_DEPLOYMENT = 123
"""Instances of the largest deployment on a platform, including those added during a day."""

SENDER = "tcp://127.0.0.1:1"
MESSAGES: tuple[type[Any], ...] = tuple(
    dict.fromkeys(
        (
            *membership.FailureDetector.MESSAGES,
            *membership.ZoneDirectory.MESSAGES,
            *distribution.DistributionCore.MESSAGES,
        )
    )
)
BASES = {
    int: st.integers(-(2**63), 2**64 - 1),
    str: st.one_of(st.text(max_size=20), st.sampled_from(["north", "east", "north-0000"])),
    bytes: st.binary(max_size=40),
    bool: st.booleans(),
    type(None): st.none(),
}


def values(kind: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for a field type."""
    if kind in BASES:
        return BASES[kind]
    if attrs.has(kind):
        attrs.resolve_types(kind)
        return st.builds(kind, *(values(a.type) for a in attrs.fields(kind)))
    if get_origin(kind) is tuple:
        return st.lists(values(get_args(kind)[0]), max_size=3).map(tuple)
    return st.one_of(*(values(part) for part in get_args(kind)))


messages = st.one_of(*(values(kind) for kind in MESSAGES))
plain = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(-5, 2**64 - 1), st.text(), st.binary()),
    lambda inner: st.one_of(st.lists(inner, max_size=4), st.dictionaries(st.text(), inner)),
    max_leaves=8,
)
tags = st.sampled_from([message_codec.to_plain(PullRecords(0))[0], "ping", "facts", "no-such"])
derandomized = settings(derandomize=True, deadline=None, max_examples=150)


def frame_of(message: Any, *, mesh_id: str = "m", key: bytes = KEY) -> bytes:
    """Return a frame."""
    return pack(message, sender=SENDER, mesh_id=mesh_id, key=key)


class FrameTest(unittest.TestCase):
    """Guards against frames that crash a task, and against unauthenticated frames."""

    def reason(self, frame: bytes) -> str:
        """Return the rejection reason of a frame; any other error fails the test."""
        with self.assertRaises(MessageRejected) as caught:
            unpack(frame, mesh_id="m", key=KEY)
        return caught.exception.reason

    @derandomized
    @given(messages)
    def test_messages_come_back_as_sent(self, message: Any) -> None:
        """Fails if a message class does not survive the codec."""
        received = unpack(frame_of(message), mesh_id="m", key=KEY)
        self.assertEqual((received.sender, received.message), (SENDER, message))

    @derandomized
    @given(messages, st.data())
    def test_damaged_frames_are_rejected(self, message: Any, data: st.DataObject) -> None:
        """Fails if a truncated, altered or foreign frame is accepted or raises another error."""
        frame = frame_of(message)
        cut = data.draw(st.integers(0, len(frame) - 1))
        self.reason(frame[:cut])
        bit = 1 << data.draw(st.integers(0, 7))
        self.reason(frame[:cut] + bytes((frame[cut] ^ bit,)) + frame[cut + 1 :])
        self.assertEqual(self.reason(frame_of(message, key=bytes(32))), "not-authentic")
        self.assertEqual(self.reason(frame_of(message, mesh_id="other")), "not-authentic")

    def test_unusual_authentic_messages_do_not_crash_a_node(self) -> None:
        """Fails if unusual numbers or names in an authentic message crash the control task."""
        net = make_fleet(1, {"north": 3, "east": 2})
        net.append()
        net.run(6.0)
        node = net.live()[0]
        senders = st.sampled_from([other.address for other in net.live()])

        @derandomized
        @given(messages, senders)
        def check(message: Any, sender: str) -> None:
            effects = node.receive(sender, message)
            net.clock.advance(0.05)
            for effect in (*effects, *node.tick()):
                frame_of(effect.message)

        check()

    @derandomized
    @given(st.binary(max_size=200))
    def test_noise_is_rejected(self, noise: bytes) -> None:
        """Fails if arbitrary bytes raise anything but a rejection."""
        self.reason(noise)
        self.reason(MAGIC + b"\x01" + noise)

    @derandomized
    @given(tags, plain)
    def test_authentic_frames_of_other_shapes_are_rejected(self, tag: str, content: Any) -> None:
        """Fails if a message of a faulty or newer release crashes the task."""
        try:
            message_codec.from_plain((tag, content))
        except MessageRejected:
            return
        self.assertEqual(type(content), list)

    def test_limits_of_size_and_prefix(self) -> None:
        """Fails if an oversized frame is read or only a prefix of a long mesh id is compared."""
        self.assertEqual(self.reason(bytes(MAX_MESSAGE_BYTES + 1)), "oversized")
        frame = frame_of(PullRecords(1), mesh_id="a-long-mesh-name-1")
        with self.assertRaises(MessageRejected):
            unpack(frame, mesh_id="a-long-mesh-name-2", key=KEY)
        nested = msgpack.packb([SENDER, ["ping", [[[[]]] * 50] * 50]])
        self.assertEqual(self.reason(MAGIC + b"\x01" + bytes(MAC_BYTES) + nested), "not-authentic")


class ZmqTransportTest(unittest.TestCase):
    """Guards against unbounded queues and sockets, and errors that crash the control task."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.reported: list[str] = []
        self.transport = ZmqTransport(
            address="tcp://127.0.0.1:*",
            mesh_id="m",
            key=KEY,
            clock=self.clock,
            on_rejected=lambda reason, count: self.reported.append(reason),
        )
        self.addCleanup(self.transport.close)
        self.address = self.transport.inbox.last_endpoint.decode()

    def test_bad_frames_are_counted_and_good_ones_arrive(self) -> None:
        """Fails if an invalid frame raises, blocks valid ones or floods the log."""
        other = ZmqTransport(address="tcp://127.0.0.1:*", mesh_id="x", key=KEY)
        self.addCleanup(other.close)
        for _ in range(3):
            other.send(Send(self.address, PullRecords(1)))
        self.transport.inbox.poll(2000)
        self.transport.send(Send(self.address, PullRecords(7)))
        received = None
        for _ in range(50):
            self.transport.inbox.poll(100)
            received = self.transport.receive() or received
            if received is not None and self.transport.rejected.get("not-authentic") == 3:
                break
        assert received is not None
        self.assertEqual(received.message, PullRecords(7))
        self.assertEqual(self.transport.rejected, {"not-authentic": 3})
        self.assertEqual(self.reported, ["not-authentic"])

    def test_bounds_of_an_unresponsive_peer(self) -> None:
        """Fails if queues, frames or idle sockets grow without bound, or an address raises."""
        silent = "tcp://127.0.0.1:9"
        for _ in range(300):
            self.transport.send(Send(silent, PullRecords(1)))
        self.assertGreater(self.transport.rejected["send-queue-full"], 0)
        self.transport.send(Send(silent, RecordsPage(0, (bytes(MAX_MESSAGE_BYTES),), 1)))
        self.assertEqual(self.transport.rejected["send-oversized"], 1)
        self.transport.send(Send("no-address", PullRecords(1)))
        self.assertEqual(self.transport.rejected["send-failed"], 1)
        self.clock.advance(100)
        self.transport.send(Send(self.address, PullRecords(1)))
        self.assertEqual(self.transport.open_peers, 1)

    def test_connections_to_a_large_deployment_stay_open(self) -> None:
        """Fails if a message to all nodes opens a connection to each of them every time."""
        opened: list[str] = []
        connect = self.transport._connect
        with patch.object(
            self.transport, "_connect", side_effect=lambda to: opened.append(to) or connect(to)
        ):
            for _ in range(3):
                for port in range(1, LARGEST_DEPLOYMENT + 1):
                    self.transport.send(Send(f"tcp://127.0.0.1:{port}", PullRecords(1)))
        self.assertEqual(len(opened), LARGEST_DEPLOYMENT)

    def test_message_to_many_nodes_is_encoded_once(self) -> None:
        """Fails if a message to several nodes is encoded once for each of them."""
        message = PullRecords(1)
        with patch("citronrack.transport.zmq_transport.pack", side_effect=pack) as packed:
            for port in (1, 2, 3):
                self.transport.send(Send(f"tcp://127.0.0.1:{port}", message))
            self.transport.send(Send("tcp://127.0.0.1:1", PullRecords(2)))
        self.assertEqual(packed.call_count, 2)


if __name__ == "__main__":
    unittest.main()
