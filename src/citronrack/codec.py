"""Compact binary form of attrs classes.

Classes become positional MessagePack arrays: field names are not sent, which halves the size of
small control messages. Fields may only be added at the end, with a default, so that older and newer
nodes understand each other.
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
    """Return a structure hook that refuses values of other types instead of converting them."""

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
    # cattrs would take any iterable, and the keys of a map or the characters of a text with it.
    if not isinstance(value, (list, tuple)):
        raise TypeError(f"expected an array for {kind}, got {type(value).__name__}")


def _array_hook(converter: BaseConverter) -> Callable[[Any, Any], Any]:
    """Return a structure hook for attrs classes in positional form."""

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
    """Replace the textual annotations of ``kind`` and of all classes below it by types.

    cattrs reads the types that attrs recorded, which are texts under postponed annotations.
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
    """Return the MessagePack form of an attrs instance or of built-in containers of them."""
    _resolve(type(value))
    return msgpack.packb(_converter.unstructure(value), use_bin_type=True)  # type: ignore[no-any-return]


def decode(data: bytes, kind: type[T], *, limit: int = MAX_MESSAGE_BYTES) -> T:
    """Return the instance of ``kind`` that ``data`` holds.

    Args:
        data: MessagePack bytes made by `encode`.
        kind: The attrs class, or a generic alias of a container.
        limit: Largest accepted size in bytes.

    Raises:
        MessageRejected: When the bytes are oversized, malformed or of another shape.
    """
    if len(data) > limit:
        raise MessageRejected("oversized")
    _resolve(kind)
    try:
        plain = msgpack.unpackb(data, raw=False, strict_map_key=True, use_list=False)
        return _converter.structure(plain, kind)
    except MessageRejected:
        raise
    except Exception as error:  # Untrusted bytes make the libraries raise many kinds of errors.
        raise MessageRejected("malformed") from error


def inflate(
    data: bytes, *, limit: int, damaged: str = "damaged", oversized: str = "oversized"
) -> bytes:
    """Return the bytes that zlib has compressed.

    Args:
        data: The compressed bytes.
        limit: Largest accepted size of the result; damaged bytes may expand without end.
        damaged: Reason for bytes that are not of zlib.
        oversized: Reason for bytes that are cut short or expand beyond the limit.

    Raises:
        MessageRejected: With one of the reasons.
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
    """Encodes a closed family of attrs classes, each under a short tag."""

    def __init__(self) -> None:
        self._by_tag: dict[str, type[Any]] = {}
        self._tags: dict[type[Any], str] = {}

    def register(self, tag: str) -> Callable[[type[T]], type[T]]:
        """Return a class decorator that adds the class under ``tag``."""

        def decorator(kind: type[T]) -> type[T]:
            if tag in self._by_tag:
                raise ValueError(f"tag {tag!r} is registered twice")
            self._by_tag[tag] = kind
            self._tags[kind] = tag
            return kind

        return decorator

    def to_plain(self, value: Any) -> tuple[str, Any]:
        """Return ``(tag, positional content)`` of a registered instance."""
        _resolve(type(value))
        return self._tags[type(value)], _converter.unstructure(value)

    def from_plain(self, plain: Any) -> Any:
        """Return the instance for ``(tag, positional content)``.

        Raises:
            MessageRejected: When the tag is unknown or the content has another shape.
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
        except Exception as error:  # Untrusted content makes cattrs raise many kinds of errors.
            raise MessageRejected("malformed") from error

    def encode(self, value: Any) -> bytes:
        """Return the MessagePack form of a registered instance, tag included."""
        return msgpack.packb(self.to_plain(value), use_bin_type=True)  # type: ignore[no-any-return]

    def decode(self, data: bytes, *, limit: int = MAX_MESSAGE_BYTES) -> Any:
        """Return the registered instance that ``data`` holds.

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
