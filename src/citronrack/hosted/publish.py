"""Writes records to the platform's store."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable
from random import Random

from attrs import frozen

from ..backoff import Backoff
from ..errors import AppendRefused, AppendUnknown, LogUnavailable
from ..telemetry import Event, EventLog
from .messages import CoreMessage, PageRead, RecordKept, RecordWritten, WriteFailed
from .position import position_fields
from .store import BACKOFF_CAP_S, AppendConflict, KeyedRecord, KeyedStore
from .watch import LONG_READ_TIMEOUT_MS


@frozen
class _Intent:
    """What a write comes to, given the records in the store.

    Attributes:
        value: The value to write.
        end: End of the topic on which the append is conditional, None for any.
        unneeded: Whether the record stays as it is.
        source: Value of the record from which the value was derived.
    """

    value: bytes | None
    end: int | None = None
    unneeded: bool = False
    source: bytes | None = None


@frozen
class Write:
    """A record to write.

    Attributes:
        topic: Name of the topic.
        key: The key.
        value: Its value, None to remove the key.
        may_replace: Returns whether the write may replace the key's current value; None for any
            value. The topic is read first, and the append is conditional on the end that was read,
            so a late write cannot overwrite a newer one.
        revise: Returns the value to write for the key's current value, None to write ``value``; it
            is only called together with ``may_replace``.
        once: Whether a failed write is dropped instead of retried; the submitter decides again.
        source: Topic and key of the record from which the value is derived, None for ``value``.
            It is read after the end of the written topic, and the append is conditional on that
            end, so of two writers none replaces what was derived from a later record.
        derive: Returns the value for the source record's value, None to write nothing.
    """

    topic: str
    key: str
    value: bytes | None
    may_replace: Callable[[bytes | None], bool] | None = None
    revise: Callable[[bytes | None], bytes] | None = None
    once: bool = False
    source: tuple[str, str] | None = None
    derive: Callable[[bytes | None], bytes | None] = lambda source: None

    def resolve(
        self, current: bytes | None, source: bytes | None = None
    ) -> tuple[bool, bytes | None]:
        """Return whether a record has to be written, and its value.

        Args:
            current: The key's current value.
            source: Value of the source record, if the write has one.
        """
        if self.source is not None:
            value = self.derive(source)
            return value not in (None, current), value
        if self.may_replace is None:
            return True, self.value
        if not self.may_replace(current):
            return False, self.value
        return True, self.revise(current) if self.revise is not None else self.value


class PublishTask:
    """Writes the newest value of each key, one write at a time.

    A write is retried until it succeeds or a newer one for its key replaces it, unless it is marked
    with ``once``.

    Args:
        store: Connection to the store, owned by this task.
        post: Sends a message to the core.
        events: Event log.
        random: Source of random numbers.
    """

    def __init__(
        self,
        *,
        store: KeyedStore,
        post: Callable[[CoreMessage], None],
        events: EventLog,
        random: Random,
    ) -> None:
        self._store = store
        self._post = post
        self._events = events
        self._backoff = Backoff(random=random, cap_s=BACKOFF_CAP_S)
        self._changed = threading.Condition()
        self._pending: OrderedDict[tuple[str, str], Write] = OrderedDict()
        self._stopping = False

    def submit(self, write: Write) -> None:
        """Add a write; it replaces a pending one for the same key."""
        with self._changed:
            self._pending[write.topic, write.key] = write
            self._changed.notify()

    def run(self) -> None:
        """Write until `stop` is called."""
        while (write := self._next()) is not None:
            if not self._try(write):
                with self._changed:
                    self._pending.setdefault((write.topic, write.key), write)
                    self._changed.wait(self._backoff.next_s())
            else:
                self._backoff.reset()
        self._store.close()

    def stop(self) -> None:
        """Make `run` return after its current write."""
        with self._changed:
            self._stopping = True
            self._changed.notify()

    def _next(self) -> Write | None:
        with self._changed:
            while not self._pending and not self._stopping:
                self._changed.wait()
            return self._pending.popitem(last=False)[1] if not self._stopping else None

    def _try(self, write: Write) -> bool:
        """Try a write; return whether it is done and must not be retried."""
        try:
            intent = self._resolve(write)
            if intent.unneeded:
                self._post(RecordKept(write.topic, write.key, intent.source))
                return True
            position = self._store.put(
                write.topic, write.key, intent.value, expected_end=intent.end
            )
        except AppendConflict as conflict:
            self._events.write(
                Event.STORE_CONFLICT,
                topic=write.topic,
                key=write.key,
                **position_fields(conflict.end, "end"),
            )
            return self._give_up(write)
        except (AppendRefused, AppendUnknown, LogUnavailable) as error:
            refused = isinstance(error, AppendRefused)
            event = Event.APPEND_REFUSED if refused else Event.APPEND_UNKNOWN
            self._events.write(event, topic=write.topic, key=write.key, reason=str(error))
            return self._give_up(write)
        self._events.write(
            Event.STORE_WRITTEN, topic=write.topic, key=write.key, **position_fields(position)
        )
        record = KeyedRecord(write.key, intent.value, position)
        self._post(RecordWritten(write.topic, record, intent.source))
        return True

    def _resolve(self, write: Write) -> _Intent:
        """Read the records on which a write depends, and return what to write."""
        if write.source is None and write.may_replace is None:
            return _Intent(write.value)
        page = self._store.newest(write.topic, timeout_ms=LONG_READ_TIMEOUT_MS)
        known, topic, source = page, write.topic, None
        if write.source is not None:
            topic, key = write.source
            known = self._store.newest(topic, timeout_ms=LONG_READ_TIMEOUT_MS)
            source = known.value(key)
        self._post(PageRead(topic, known, full=True, for_write=True))
        needed, value = write.resolve(page.value(write.key), source)
        return _Intent(value, page.position, not needed, source)

    def _give_up(self, write: Write) -> bool:
        """Return whether a failed write is dropped; its submitter is told so."""
        if write.once:
            self._post(WriteFailed(write.topic, write.key))
        return write.once
