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
from .messages import CoreMessage, PageRead, RecordWritten
from .position import position_fields
from .store import BACKOFF_CAP_S, AppendConflict, KeyedRecord, KeyedStore
from .watch import LONG_READ_TIMEOUT_MS


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
    """

    topic: str
    key: str
    value: bytes | None
    may_replace: Callable[[bytes | None], bool] | None = None
    revise: Callable[[bytes | None], bytes] | None = None
    once: bool = False


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
        value = write.value
        try:
            end = None
            if write.may_replace is not None:
                page = self._store.newest(write.topic, timeout_ms=LONG_READ_TIMEOUT_MS)
                self._post(PageRead(write.topic, page, full=True))
                end = page.position
                current = {record.key: record.value for record in page.records}
                if not write.may_replace(current.get(write.key)):
                    return True
                if write.revise is not None:
                    value = write.revise(current.get(write.key))
            position = self._store.put(write.topic, write.key, value, expected_end=end)
        except AppendConflict as conflict:
            self._events.write(
                Event.STORE_CONFLICT,
                topic=write.topic,
                key=write.key,
                **position_fields(conflict.end, "end"),
            )
            return write.once
        except (AppendRefused, AppendUnknown, LogUnavailable) as error:
            refused = isinstance(error, AppendRefused)
            event = Event.APPEND_REFUSED if refused else Event.APPEND_UNKNOWN
            self._events.write(event, topic=write.topic, key=write.key, reason=str(error))
            return write.once
        self._events.write(
            Event.STORE_WRITTEN, topic=write.topic, key=write.key, **position_fields(position)
        )
        record = KeyedRecord(write.key, value, position)
        self._post(RecordWritten(write.topic, record))
        return True
