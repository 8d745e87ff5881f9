"""Hypothesis strategies for messages, records and damaged files."""

from __future__ import annotations

import types
from collections.abc import Callable
from typing import Any, Union, get_args, get_origin

import attrs
from hypothesis import strategies as st

from ..calls import CallRecord
from ..config import Change, Route, Service, ServiceVersion
from ..hosted.entry import NodeEntry
from ..hosted.ramp import RAMP
from ..hosted.rollout_record import Phase, RolloutRecord
from ..log import Envelope, encode_record
from ..log.records import Confirmed, Duty, MoveResult, record_codec
from ..membership import Member
from ..node.mail import CallReported, DrainAsked, LogReadFailed
from ..transport.messages import message_codec
from ..verdict import Verdict

NAMES = ("a-1", "a-2", "a-3", "own")
ZONES = ("zone-a", "zone-b")
SERVICES = ("catalogue", "media")
VERSIONS = ("1.0", "2.0")
ROUTES = ("lookups", "orders")

# Known names come first, so that generated messages often refer to the same objects.
_TEXTS = st.one_of(
    st.sampled_from((*NAMES, *ZONES, *SERVICES, *VERSIONS, *ROUTES, *Duty, *MoveResult)),
    st.text(max_size=6),
)
_NUMBERS = st.one_of(st.integers(-2, 12), st.integers(-(2**31), 2**31))
_FLOATS = st.one_of(st.floats(0, 2, allow_nan=False), st.floats(allow_nan=False, width=32))
_LEAVES: dict[Any, st.SearchStrategy[Any]] = {
    int: _NUMBERS,
    float: _FLOATS,
    str: _TEXTS,
    bool: st.booleans(),
    bytes: st.binary(max_size=40),
    Verdict: st.sampled_from(Verdict),
    types.NoneType: st.none(),
}


def member(name: str, number: int, *, zone: str = ZONES[0]) -> Member:
    """Return a member with valid addresses."""
    return Member(
        name=name,
        address=f"tcp://127.0.0.1:{10_000 + number}",
        call_address=f"127.0.0.1:{20_000 + number}",
        deliver_address=f"127.0.0.1:{30_000 + number}",
        availability_zone=zone,
        service="catalogue",
        service_version="1.0",
        incarnation=number,
    )


def members() -> st.SearchStrategy[Member]:
    """Generate members, some with invalid addresses as from a faulty peer."""
    return st.builds(
        lambda base, **fields: attrs.evolve(base, **fields),
        st.builds(member, st.sampled_from(NAMES), st.integers(0, 3), zone=st.sampled_from(ZONES)),
        incarnation=st.integers(0, 9),
        state=st.sampled_from((0, 0, 0, 1, 2)),
        draining=st.sampled_from((False, False, False, True)),
        ready=st.sampled_from((True, True, False)),
        version=st.integers(-1, 9),
        load=st.integers(0, 9),
        deliver_address=st.sampled_from(("127.0.0.1:30001", "127.0.0.1:30002", "", "host:1")),
    )


def node_entries() -> st.SearchStrategy[NodeEntry]:
    """Generate entries of hosted nodes; their fields are validated, so all are valid."""
    addresses = st.integers(1, 9).map(lambda number: f"127.0.0.{number}:{10_000 + number}")
    return st.builds(
        NodeEntry,
        name=st.sampled_from(NAMES),
        boot=st.integers(0, 9),
        revision=st.integers(0, 9),
        availability_zone=st.sampled_from(ZONES),
        peer_address=addresses,
        deliver_address=addresses,
        service=st.sampled_from(("", *SERVICES)),
        service_version=st.sampled_from(VERSIONS),
        target_id=st.sampled_from(("", "i-1", "i-2")),
        slots=st.integers(1, 9),
        serving=st.booleans(),
        link_mbps=st.integers(0, 1000),
        limit_per_s=st.none() | st.floats(0, 100),
        target_started_ms=st.integers(0, 9),
    )


def rollout_records() -> st.SearchStrategy[RolloutRecord]:
    """Generate records of rollouts; their fields are validated, so all are valid."""
    return st.builds(
        RolloutRecord,
        order_id=st.integers(0, 9),
        service=st.sampled_from(SERVICES),
        target_version=st.sampled_from(VERSIONS),
        phase=st.sampled_from([phase.value for phase in Phase]),
        share=st.floats(0, 1),
        step=st.integers(0, len(RAMP) - 1),
        elapsed_ms=st.integers(0, 99_999),
        holder=st.sampled_from(NAMES),
        revision=st.integers(0, 9),
        reason=_TEXTS,
        reported=st.booleans(),
    )


def of_type(kind: Any) -> st.SearchStrategy[Any]:
    """Generate values of a type annotation that the codec supports."""
    if kind in _VALIDATED:
        return _VALIDATED[kind]()
    if kind in _LEAVES:
        return _LEAVES[kind]
    origin, args = get_origin(kind), get_args(kind)
    if origin in (Union, types.UnionType):
        return st.one_of([of_type(part) for part in args])
    if origin is tuple and args[-1] is Ellipsis:
        return st.lists(of_type(args[0]), max_size=3).map(tuple)
    if origin is tuple:
        return st.tuples(*(of_type(part) for part in args))
    if origin is dict:
        return st.dictionaries(of_type(args[0]), of_type(args[1]), max_size=3)
    if attrs.has(kind):
        attrs.resolve_types(kind)
        return st.builds(kind, **{a.name: of_type(a.type) for a in attrs.fields(kind)})
    return st.none()


_VALIDATED: dict[Any, Callable[[], st.SearchStrategy[Any]]] = {
    Member: members,
    NodeEntry: node_entries,
    RolloutRecord: rollout_records,
}


def messages() -> st.SearchStrategy[Any]:
    """Generate messages of all types that are registered for the transport."""
    kinds = sorted(message_codec._by_tag.items())
    return st.one_of([of_type(kind) for _, kind in kinds])


def _confirmed() -> st.SearchStrategy[Any]:
    """Generate confirmations, many of them valid."""
    service = st.builds(
        lambda name, versions: Service(name, {v: ServiceVersion(v) for v in versions}),
        st.sampled_from(SERVICES),
        st.lists(st.sampled_from(VERSIONS), min_size=1, max_size=2),
    )
    route = st.builds(
        lambda name, service, version: Route(name, f"/{name}", service, version),
        st.sampled_from(ROUTES),
        st.sampled_from(SERVICES),
        st.sampled_from(VERSIONS),
    )
    change = st.builds(
        Change,
        put_services=st.lists(service, max_size=2).map(tuple),
        put_routes=st.lists(route, max_size=2).map(tuple),
        remove_routes=st.lists(st.sampled_from(ROUTES), max_size=1).map(tuple),
        remove_services=st.lists(st.sampled_from(SERVICES), max_size=1).map(tuple),
    )
    return st.builds(
        Confirmed,
        plan_id=st.text("pq", min_size=1, max_size=3),
        base_version=st.integers(-1, 8),
        change=change,
        confirmed_ms=st.integers(0, 3),
        expires_ms=st.integers(0, 3),
        operator=st.just("operator"),
    )


def _body() -> st.SearchStrategy[Any]:
    kinds = sorted(record_codec._by_tag.items())
    return st.one_of(_confirmed(), _confirmed(), *(of_type(kind) for _, kind in kinds))


def records() -> st.SearchStrategy[bytes]:
    """Generate log records: valid, repeated and malformed ones."""
    envelope = st.builds(
        Envelope,
        writer=st.sampled_from(("a-1/x", "a-2/y")),
        sequence=st.integers(0, 12),
        written_ms=st.integers(0, 9),
        body=_body(),
    )
    return st.one_of(
        envelope.map(encode_record), envelope.map(encode_record), st.binary(max_size=30)
    )


def small_mail() -> st.SearchStrategy[Any]:
    """Generate messages from other tasks that carry no log records."""
    call = of_type(CallRecord).map(CallReported)
    return st.one_of(
        st.just(LogReadFailed("down")),
        call,
        st.just(DrainAsked()),
    )


def mutated(original: bytes) -> st.SearchStrategy[bytes]:
    """Generate damaged variants of a file."""

    def replace(parts: list[tuple[int, int, bytes]]) -> bytes:
        data = original
        for start, length, text in parts:
            start %= max(len(data), 1)
            data = data[:start] + text + data[start + length :]
        return data

    snippets = st.one_of(
        st.binary(max_size=4),
        st.sampled_from(
            (b"null", b"[", b"{", b"-1", b": ", b"\n  ", b"&a *a", b"1e999", b"~", b"'")
        ),
    )
    part = st.tuples(st.integers(0, len(original)), st.integers(0, 30), snippets)
    return st.lists(part, min_size=1, max_size=4).map(replace)
