"""Header rules of RFC 9110 and the rendering of heads."""

from __future__ import annotations

from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

CONTEXT = b"x-citronrack-context"
VERDICT = b"x-citronrack-verdict"
LOAD = b"x-citronrack-load"
TIMEOUT = b"x-request-timeout-ms"
_INTERNAL_PREFIX = b"x-citronrack-"

# RFC 9110, 7.6.1. `content-length` and `expect` belong to one connection here too, because each
# hop frames the body anew and answers expectations itself.
_PER_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# A caller must not be able to make a node remove the header that every request needs.
_NEVER_REMOVED = frozenset({b"host"})

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that the next hop gets; names must be in lower case."""
    kept: Headers = []
    named: set[bytes] = set()
    for name, value in headers:
        if name in _PER_CONNECTION:
            if name == b"connection":
                named.update(token.strip().lower() for token in value.split(b","))
        elif not name.startswith(_INTERNAL_PREFIX):
            kept.append((name, value))
    named -= _NEVER_REMOVED
    if named - {b"close", b"keep-alive"}:
        return [header for header in kept if header[0] not in named]
    return kept


def request_head(method: bytes, target: bytes, headers: Headers) -> bytes:
    """Return the bytes of a request line and headers."""
    fields = b"".join([b"%b: %b\r\n" % header for header in headers])
    return b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, fields)


def answer_head(status: int, reason: bytes, headers: Headers) -> bytes:
    """Return the bytes of a status line and headers."""
    fields = b"".join([b"%b: %b\r\n" % header for header in headers])
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (status, reason or _REASONS.get(status, b""), fields)
