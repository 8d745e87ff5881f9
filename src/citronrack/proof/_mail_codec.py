"""Text encoding of the messages between a node's tasks, for traces."""

from __future__ import annotations

from typing import Any

import attrs
from attrs import frozen

from ..codec import TaggedCodec
from ..errors import MessageRejected
from ..log.records import record_codec
from ..node import mail as node_mail
from ..node.mail import AppendDone, AppendFate, StopAsked

MAX_MAIL_BYTES = 16 * 1024 * 1024  # fits a page of the log or a snapshot

mail_codec = TaggedCodec()


@mail_codec.register("AppendDone")
@frozen
class _AppendDone:
    """An `AppendDone` with an encoded record body."""

    body: bytes
    fate: str
    offset: int | None
    reason: str


def _is_plain(kind: type[Any]) -> bool:
    """Return whether no field holds a future, which is useless without the waiting thread."""
    return not any("Future" in str(attribute.type) for attribute in attrs.fields(kind))


for _name, _kind in sorted(vars(node_mail).items()):
    _is_mail = isinstance(_kind, type) and _kind.__module__ == node_mail.__name__
    if _is_mail and attrs.has(_kind) and _kind not in (AppendDone, StopAsked) and _is_plain(_kind):
        mail_codec.register(_name)(_kind)


def encode_mail(mail: Any) -> str | None:
    """Return the text form, or None for queries, which change no decision."""
    if isinstance(mail, AppendDone):
        mail = _AppendDone(
            record_codec.encode(mail.body), mail.fate.value, mail.offset, mail.reason
        )
    try:
        return mail_codec.encode(mail).hex()
    except KeyError:
        return None


def decode_mail(text: str) -> Any:
    """Return the message encoded in ``text``.

    Raises:
        MessageRejected: When the text is malformed or has an unknown tag.
    """
    try:
        data = bytes.fromhex(text)
    except ValueError as error:
        raise MessageRejected("malformed") from error
    mail = mail_codec.decode(data, limit=MAX_MAIL_BYTES)
    if isinstance(mail, _AppendDone):
        return AppendDone(
            record_codec.decode(mail.body), AppendFate(mail.fate), mail.offset, mail.reason
        )
    return mail
