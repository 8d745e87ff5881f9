"""Header rules of RFC 9110 and the rendering of heads."""

from __future__ import annotations

from http import HTTPStatus

from attrs import field, frozen

Headers = list[tuple[bytes, bytes]]

CONTEXT = b"x-citronrack-context"
VERDICT = b"x-citronrack-verdict"
LOAD = b"x-citronrack-load"
SERVICE = b"x-citronrack-service"
"""Service that a call between nodes is for; an address may belong to another service by now."""

ARRIVED = b"x-citronrack-arrived"
"""Present in a refusal when the target itself refused, so that the call has loaded a target."""

TIMEOUT = b"x-request-timeout-ms"
REQUEST_ID = b"x-request-id"
RETRY_AFTER = b"retry-after"
_INTERNAL_PREFIX = b"x-citronrack-"


@frozen
class HeaderNames:
    """Names of the headers that callers and targets exchange with a node, in lower case.

    A platform that uses other names passes its own set; an empty name stands for a header that is
    not used.

    Attributes:
        timeout: Milliseconds that the caller waits, and that the target may work.
        request_id: Identifies one request; a target that echoes it shows whose answer it is.
        caller_service: Service of the instance where the call began.
        expected_target: Id of the target that a request is for.
        signature: Proof that the target made the answer; without it a success is not genuine.
        not_run: Present when the target states that it did not run the request.
        target_load: ``running,waiting,slots`` of the target.
    """

    timeout: bytes = TIMEOUT
    request_id: bytes = REQUEST_ID
    caller_service: bytes = b""
    expected_target: bytes = b""
    signature: bytes = b""
    not_run: bytes = b""
    target_load: bytes = b""
    reserved: frozenset[bytes] = field(init=False)
    """Headers that the node sets itself; what a caller sends under these names is dropped."""

    @reserved.default
    def _reserved(self) -> frozenset[bytes]:
        names = {self.caller_service, self.expected_target}
        if self.expected_target:
            names.add(self.timeout)
        return frozenset(names - {b""})


DEFAULT_HEADER_NAMES = HeaderNames()

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


def response_head(status: int, reason: bytes, headers: Headers) -> bytes:
    """Return the bytes of a status line and headers."""
    fields = b"".join([b"%b: %b\r\n" % header for header in headers])
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (status, reason or _REASONS.get(status, b""), fields)
