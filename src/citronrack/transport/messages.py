"""The codec with which all classes of messages between nodes are registered."""

from __future__ import annotations

from ..codec import TaggedCodec

message_codec = TaggedCodec()
