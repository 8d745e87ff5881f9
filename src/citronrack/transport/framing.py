"""Frames: a versioned, authenticated envelope around one encoded message."""

from __future__ import annotations

import hashlib
import hmac
from functools import lru_cache
from typing import Any

import msgpack
from attrs import frozen

from ..codec import MAX_MESSAGE_BYTES
from ..errors import MessageRejected
from .messages import message_codec

MAGIC = b"CR"
PROTOCOL_VERSION = 1
MAC_BYTES = 16
_HEADER_BYTES = len(MAGIC) + 1 + MAC_BYTES


@frozen
class Received:
    """An accepted message.

    Attributes:
        sender: Address at which the sending node can be reached, ``tcp://ip:port``.
        message: The decoded message.
    """

    sender: str
    message: Any


def _mac(key: bytes, mesh_id: str, body: bytes) -> bytes:
    digest = hashlib.blake2b(body, key=key, digest_size=MAC_BYTES, person=_personalization(mesh_id))
    return digest.digest()


@lru_cache(maxsize=16)
def _personalization(mesh_id: str) -> bytes:
    """Return 16 bytes that stand for the whole mesh id, whatever its length."""
    return hashlib.blake2b(mesh_id.encode(), digest_size=hashlib.blake2b.PERSON_SIZE).digest()


def pack(message: Any, *, sender: str, mesh_id: str, key: bytes) -> bytes:
    """Return the frame of ``message``.

    Args:
        message: Instance of a registered message class.
        sender: Address at which this node can be reached.
        mesh_id: Name of the mesh; frames of other meshes are refused.
        key: Shared key of the mesh, 16 to 64 bytes.
    """
    body: bytes = msgpack.packb((sender, message_codec.to_plain(message)), use_bin_type=True)
    return MAGIC + bytes((PROTOCOL_VERSION,)) + _mac(key, mesh_id, body) + body


def unpack(frame: bytes, *, mesh_id: str, key: bytes) -> Received:
    """Return the message of ``frame``.

    Raises:
        MessageRejected: When the frame is oversized, malformed, of another protocol version, or not
            made with the key of this mesh.
    """
    if len(frame) > MAX_MESSAGE_BYTES:
        raise MessageRejected("oversized")
    if len(frame) < _HEADER_BYTES or not frame.startswith(MAGIC):
        raise MessageRejected("malformed")
    if frame[len(MAGIC)] != PROTOCOL_VERSION:
        raise MessageRejected("protocol-version")
    body = frame[_HEADER_BYTES:]
    if not hmac.compare_digest(frame[len(MAGIC) + 1 : _HEADER_BYTES], _mac(key, mesh_id, body)):
        raise MessageRejected("not-authentic")
    try:
        sender, plain = msgpack.unpackb(body, raw=False, use_list=False)
    except Exception as error:  # msgpack raises several unrelated error classes.
        raise MessageRejected("malformed") from error
    if not isinstance(sender, str) or not sender.startswith("tcp://"):
        raise MessageRejected("malformed")
    return Received(sender, message_codec.from_plain(plain))
