"""Messages between nodes: codec, framing and sockets."""

from __future__ import annotations

from .framing import pack, unpack
from .messages import message_codec
from .send import Core, Send

__all__ = ["Core", "Send", "message_codec", "pack", "unpack"]
