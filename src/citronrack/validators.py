"""attrs validators for settings and messages; each error says what was expected."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from attrs import Attribute

Validator = Callable[[Any, "Attribute[Any]", Any], None]

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MIN_TOKEN_LENGTH = 16

MAX_NUMBER = 2**53
"""Largest count or time in milliseconds that is accepted from others; it is exact as a float, and
sums of a few of them fit into 64 bits."""

MAX_SLOTS = 100_000
MAX_TEXT = 256


def split_address(text: str) -> tuple[str, int]:
    """Return ``(ip, port)`` of ``ip:port``.

    Raises:
        ValueError: When the text has another format.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ValueError(f"expected IP:PORT, got {text!r}") from None
    if not 1 <= number <= 65_535:
        raise ValueError(f"expected a port from 1 to 65535, got {number}")
    return host, number


def name(_: Any, attribute: Attribute[Any], value: Any) -> None:
    """Accept a short name."""
    if not _NAME.fullmatch(value):
        raise ValueError(f"expected 1 to 128 letters, digits, '.', '_' or '-', got {value!r}")


def address(_: Any, attribute: Attribute[Any], value: Any) -> None:
    """Accept ``ip:port``."""
    split_address(value)


def addresses(_: Any, attribute: Attribute[Any], value: Any) -> None:
    """Accept a list of ``ip:port``."""
    for entry in value:
        split_address(entry)


def optional_address(_: Any, attribute: Attribute[Any], value: Any) -> None:
    """Accept ``ip:port`` or an empty string."""
    if value:
        split_address(value)


def addresses_by_name(_: Any, attribute: Attribute[Any], value: Any) -> None:
    """Accept a map from names to lists of ``ip:port``."""
    for entries in value.values():
        for entry in entries:
            split_address(entry)


def url(_: Any, attribute: Attribute[Any], value: Any) -> None:
    """Accept an HTTP base URL whose host is an IP address."""
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(f"expected http://IP:PORT, got {value!r}")
    try:
        ipaddress.ip_address(parts.hostname)
    except ValueError:
        raise ValueError(f"expected an IP number as host, got {parts.hostname!r}") from None


def hex_key(_: Any, attribute: Attribute[Any], value: Any) -> None:
    """Accept a key in hexadecimal digits."""
    try:
        size = len(bytes.fromhex(value))
    except ValueError:
        raise ValueError("expected hexadecimal digits") from None
    if not MIN_KEY_BYTES <= size <= MAX_KEY_BYTES:
        raise ValueError(f"expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, got {size}")


def token(_: Any, attribute: Attribute[Any], value: Any) -> None:
    """Accept a token that is too long to be guessed: at least `MIN_TOKEN_LENGTH` characters."""
    if len(value) < MIN_TOKEN_LENGTH:
        raise ValueError(f"expected at least {MIN_TOKEN_LENGTH} characters, got {len(value)}")


def between(low: float, high: float) -> Validator:
    """Return a validator that accepts numbers from ``low`` to ``high``."""

    def check(_: Any, attribute: Attribute[Any], value: Any) -> None:
        if not low <= value <= high:
            raise ValueError(f"expected {low} to {high}, got {value}")

    return check


def text(longest: int) -> Validator:
    """Return a validator that accepts printable texts of up to ``longest`` characters."""

    def check(_: Any, attribute: Attribute[Any], value: Any) -> None:
        if len(value) > longest or not value.isprintable():
            raise ValueError(f"expected up to {longest} printable characters, got {value!r:.80}")

    return check


def one_of(*choices: str) -> Validator:
    """Return a validator that accepts one of ``choices``."""

    def check(_: Any, attribute: Attribute[Any], value: Any) -> None:
        if value not in choices:
            raise ValueError(f"expected one of {', '.join(choices)}, got {value!r}")

    return check
