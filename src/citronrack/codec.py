"""Compact binary encoding of attrs classes.

Instances are encoded as positional MessagePack arrays without field names, which halves the size of
small control messages. New fields must be added at the end and have a default, so that nodes of
older and newer releases can exchange messages.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any, TypeVar, get_args, get_origin

import attrs
import msgpack
from cattrs import BaseConverter, UnstructureStrategy

from .errors import MessageRejected

T = TypeVar("T")

MAX_MESSAGE_BYTES = 256 * 1024


def _strict(expected: type, *also: type) -> Callable[[Any, Any], Any]:
    """Return a structure hook that rejects values of other types instead of converting them."""

    def hook(value: Any, _: Any) -> Any:
        if isinstance(value, bool) and expected is not bool:
            raise TypeError(f"expected {expected.__name__}, got bool")
        if not isinstance(value, (expected, *also)):
            raise TypeError(f"expected {expected.__name__}, got {type(value).__name__}")
        return value

    return hook


def _make_converter() -> BaseConverter:
    converter = BaseConverter(unstruct_strat=UnstructureStrategy.AS_TUPLE)
    converter.register_structure_hook(int, _strict(int))
    converter.register_structure_hook(float, _strict(float, int))
    converter.register_structure_hook(str, _strict(str))
    converter.register_structure_hook(bytes, _strict(bytes))
    converter.register_structure_hook(bool, _strict(bool))
    converter.register_structure_hook_func(attrs.has, _array_hook(converter))
    converter.register_structure_hook_func(_is_tuple, _tuple_hook(converter))
    return converter


def _is_tuple(kind: Any) -> bool:
    return get_origin(kind) is tuple


def _require_array(value: Any, kind: Any) -> None:
    # cattrs accepts any iterable, including the keys of a map or the characters of a string.
    if not isinstance(value, (list, tuple)):
        raise TypeError(f"expected an array for {kind}, got {type(value).__name__}")


def _array_hook(converter: BaseConverter) -> Callable[[Any, Any], Any]:
    """Return a structure hook for attrs classes that are encoded as arrays."""

    def hook(value: Any, kind: Any) -> Any:
        _require_array(value, kind)
        return converter.structure_attrs_fromtuple(value, kind)

    return hook


def _tuple_hook(converter: BaseConverter) -> Callable[[Any, Any], Any]:
    """Return a structure hook for ``tuple[T, ...]`` and ``tuple[A, B]``."""

    def hook(value: Any, kind: Any) -> Any:
        _require_array(value, kind)
        parts = get_args(kind)
        if len(parts) == 2 and parts[1] is Ellipsis:
            return tuple(converter.structure(entry, parts[0]) for entry in value)
        if len(parts) != len(value):
            raise TypeError(f"expected {len(parts)} entries, got {len(value)}")
        pairs = zip(value, parts, strict=True)
        return tuple(converter.structure(entry, part) for entry, part in pairs)

    return hook


_converter = _make_converter()
_resolved: set[type[Any]] = set()


def _resolve(kind: Any) -> None:
    """Resolve the annotations of ``kind`` and of all classes nested in it.

    cattrs reads the types that attrs recorded, which are strings under postponed annotations.
    """
    for part in get_args(kind):
        _resolve(part)
    if not attrs.has(kind) or kind in _resolved:
        return
    _resolved.add(kind)
    attrs.resolve_types(kind)
    for attribute in attrs.fields(kind):
        _resolve(attribute.type)


def encode(value: Any) -> bytes:
    """Encode an attrs instance, or a built-in container of instances, as MessagePack."""
    _resolve(type(value))
    return msgpack.packb(_converter.unstructure(value), use_bin_type=True)  # type: ignore[no-any-return]


def decode(data: bytes, kind: type[T], *, limit: int = MAX_MESSAGE_BYTES) -> T:
    """Decode an instance of ``kind``.

    Args:
        data: MessagePack bytes made by `encode`.
        kind: The attrs class, or a generic alias of a container.
        limit: Largest accepted size in bytes.

    Raises:
        MessageRejected: When the bytes are oversized, malformed or do not match ``kind``.
    """
    if len(data) > limit:
        raise MessageRejected("oversized")
    _resolve(kind)
    try:
        plain = msgpack.unpackb(data, raw=False, strict_map_key=True, use_list=False)
        return _converter.structure(plain, kind)
    except MessageRejected:
        raise
    except Exception as error:  # Untrusted bytes make the libraries raise unrelated errors.
        raise MessageRejected("malformed") from error


def decode_stored(data: bytes | None, kind: type[T]) -> T | None:
    """Return the instance of ``kind`` in a stored value, None when it is absent or malformed."""
    if data is None:
        return None
    try:
        return decode(data, kind)
    except MessageRejected:
        return None


def inflate(
    data: bytes, *, limit: int, damaged: str = "damaged", oversized: str = "oversized"
) -> bytes:
    """Decompress zlib data.

    Args:
        data: The compressed bytes.
        limit: Largest accepted size of the result; corrupt data may expand without bound.
        damaged: Rejection reason for data that is not in zlib format.
        oversized: Rejection reason for data that is truncated or expands beyond the limit.

    Raises:
        MessageRejected: With one of the two reasons.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, limit)
    except zlib.error as error:
        raise MessageRejected(damaged) from error
    if not inflater.eof:
        raise MessageRejected(oversized)
    return plain


class TaggedCodec:
    """Encodes instances of registered attrs classes, each with a short tag."""

    def __init__(self) -> None:
        self._by_tag: dict[str, type[Any]] = {}
        self._tags: dict[type[Any], str] = {}

    def register(self, tag: str) -> Callable[[type[T]], type[T]]:
        """Return a class decorator that registers the class under ``tag``."""

        def decorator(kind: type[T]) -> type[T]:
            if tag in self._by_tag:
                raise ValueError(f"tag {tag!r} is registered twice")
            self._by_tag[tag] = kind
            self._tags[kind] = tag
            return kind

        return decorator

    def to_plain(self, value: Any) -> tuple[str, Any]:
        """Convert an instance of a registered class to ``(tag, positional content)``."""
        _resolve(type(value))
        return self._tags[type(value)], _converter.unstructure(value)

    def from_plain(self, plain: Any) -> Any:
        """Convert ``(tag, positional content)`` to an instance.

        Raises:
            MessageRejected: When the tag is unknown or the content does not match its class.
        """
        try:
            tag, content = plain
        except (TypeError, ValueError):
            raise MessageRejected("malformed") from None
        kind = self._by_tag.get(tag) if isinstance(tag, str) else None
        if kind is None:
            raise MessageRejected("unknown-tag")
        _resolve(kind)
        try:
            return _converter.structure(content, kind)
        except Exception as error:  # Untrusted content makes cattrs raise unrelated errors.
            raise MessageRejected("malformed") from error

    def encode(self, value: Any) -> bytes:
        """Encode an instance of a registered class, with its tag, as MessagePack."""
        return msgpack.packb(self.to_plain(value), use_bin_type=True)  # type: ignore[no-any-return]

    def decode(self, data: bytes, *, limit: int = MAX_MESSAGE_BYTES) -> Any:
        """Decode an instance of a registered class.

        Raises:
            MessageRejected: When the bytes are oversized, malformed or carry an unknown tag.
        """
        if len(data) > limit:
            raise MessageRejected("oversized")
        try:
            plain = msgpack.unpackb(data, raw=False, strict_map_key=True, use_list=False)
        except Exception as error:  # msgpack raises several unrelated error classes.
            raise MessageRejected("malformed") from error
        return self.from_plain(plain)
