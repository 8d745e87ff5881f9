"""Header names, the header rules of RFC 9110, and serialisation of message heads."""

from __future__ import annotations

from http import HTTPStatus

from attrs import field, frozen

Headers = list[tuple[bytes, bytes]]

CONTEXT = b"x-citronrack-context"
VERDICT = b"x-citronrack-verdict"
LOAD = b"x-citronrack-load"
SERVICE = b"x-citronrack-service"
"""Service that a call between nodes is for; its address may have been reused by another service."""

AIM = b"x-citronrack-aim"
"""Milliseconds left until the answer is late for the caller; negative if it is late already."""

PAUSE = b"x-citronrack-pause"
"""Milliseconds until a target that names a limit takes a further call; absent without a limit."""

ARRIVED = b"x-citronrack-arrived"
"""Present in a refusal by the target itself, which means that the call has loaded a target."""

SUSPECT = b"x-citronrack-suspect"
"""Present in a call under whose request a target has ended; it runs beside no other such call."""

ENDED = b"x-citronrack-ended"
"""Present in the answer to a call under which the process of its target has ended."""

EVACUATED = b"x-citronrack-evacuated"
"""Present in a refusal because the zone of the target is evacuated, with all of its targets."""

TIMEOUT = b"x-request-timeout-ms"
REQUEST_ID = b"x-request-id"
RETRY_AFTER = b"retry-after"
LAST_CHUNK = b"0\r\n\r\n"
"""Ends a body with chunked coding."""

_INTERNAL_PREFIX = b"x-citronrack-"


@frozen
class HeaderNames:
    """Names of the headers that callers and targets exchange with a node, in lower case.

    A platform may use other names than the defaults. An empty name disables the header.

    Attributes:
        timeout: Milliseconds that the caller waits and that the target may use.
        request_id: Identifies one request; a target that echoes it shows which request its response
            belongs to.
        caller_service: Service of the instance where the call began.
        expected_target: Id of the target that a request is for.
        signature: Proof that the target made the response; a success without it is not genuine.
        not_run: Present when the target states that it did not run the request.
        target_load: ``running,waiting,slots`` of the target.
        credentials: Scheme and key of the caller's workspace, separated by a space.
        key_scheme: The scheme, compared without regard to case.
        workspace: Name of the caller's workspace; only nodes set it.
    """

    timeout: bytes = TIMEOUT
    request_id: bytes = REQUEST_ID
    caller_service: bytes = b""
    expected_target: bytes = b""
    signature: bytes = b""
    not_run: bytes = b""
    target_load: bytes = b""
    credentials: bytes = b""
    key_scheme: bytes = b""
    workspace: bytes = b""
    reserved: frozenset[bytes] = field(init=False)
    """Headers that only the node may set; they are dropped from requests of callers."""

    @reserved.default
    def _reserved(self) -> frozenset[bytes]:
        names = {self.caller_service, self.expected_target, self.workspace}
        if self.expected_target:
            names.add(self.timeout)
        return frozenset(names - {b""})


DEFAULT_HEADER_NAMES = HeaderNames()

# Hop-by-hop headers of RFC 9110, 7.6.1. `content-length` and `expect` are included because each hop
# frames the body itself and responds to expectations itself.
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
# A caller must not be able to remove this mandatory header through `connection`.
_NEVER_REMOVED = frozenset({b"host"})

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def end_to_end(headers: Headers) -> Headers:
    """Return the headers to forward to the next hop; names must be in lower case."""
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


def without_upgrade(headers: Headers) -> Headers:
    """Return the headers without an offer of another protocol; names must be in lower case."""
    connection = [value for name, value in headers if name == b"connection"]
    tokens = [token.strip() for value in connection for token in value.split(b",")]
    dropped = {b"upgrade", b"http2-settings", b"connection"}
    kept = [header for header in headers if header[0] not in dropped]
    options = [token for token in tokens if token.lower() not in dropped | {b""}]
    return [*kept, (b"connection", b", ".join(options))] if options else kept


def request_head(
    method: bytes, target: bytes, headers: Headers, *, version: bytes = b"1.1"
) -> bytes:
    """Return the encoded request line and headers."""
    fields = b"".join([b"%b: %b\r\n" % header for header in headers])
    return b"%b %b HTTP/%b\r\n%b\r\n" % (method, target, version, fields)


def response_head(status: int, reason: bytes, headers: Headers) -> bytes:
    """Return the encoded status line and headers."""
    fields = b"".join([b"%b: %b\r\n" % header for header in headers])
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (status, reason or _REASONS.get(status, b""), fields)
