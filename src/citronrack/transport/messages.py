"""The codec with which every message class between nodes is registered."""

from __future__ import annotations

from ..codec import TaggedCodec

message_codec = TaggedCodec()
