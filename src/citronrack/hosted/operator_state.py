"""The configuration in force and the records of the operator that lead to it."""

from __future__ import annotations

from collections import deque

from ..config import ActiveConfig, ConfigSet
from ..telemetry import Event, EventLog
from .dependencies import OperatorTopic
from .evacuation import EvacuationOrder
from .position import offset_of, position_fields
from .rollout_record import RolloutOrder
from .store import KeyedRecord


class OperatorState:
    """Decodes the operator's records and puts configurations in force.

    Args:
        topic: Codec of the records.
        events: Event log.
    """

    def __init__(self, topic: OperatorTopic, *, events: EventLog) -> None:
        self._topic = topic
        self._events = events
        self._active = ActiveConfig()
        self._evacuated: frozenset[str] = frozenset()
        self._decoded: deque[tuple[KeyedRecord, ConfigSet]] = deque(maxlen=2)

    @property
    def config(self) -> ConfigSet:
        """The configuration in force; its version is -1 before the first one."""
        return self._active.current

    @property
    def evacuated(self) -> frozenset[str]:
        """Zones whose evacuation is in force; an immutable snapshot."""
        return self._evacuated

    def version_of(self, record: KeyedRecord) -> int | None:
        """Return the version of a configuration, None for an invalid one or another record."""
        config = self._decode(record)
        return config.version if config is not None else None

    def supersedes(self, known: KeyedRecord, record: KeyedRecord) -> bool | None:
        """Compare two records of a key, with one version or none, across a return of the store.

        Of two configurations of one version the later one counts. An order of a rollout or an
        evacuation has no version, so its content does not say whether it is older; only an invalid
        one never replaces it.

        Returns:
            Whether ``record`` replaces ``known``, None if that is unknown.
        """
        if self._decode(known) is not None:
            return True
        is_invalid = record.value is not None and not self._is_order(record)
        return False if is_invalid and self._is_order(known) else None

    def apply(self, record: KeyedRecord, *, end: int, source: str) -> ConfigSet | None:
        """Put the configuration in a record in force if it is newer.

        Args:
            record: The record.
            end: Position up to which the node has the topic.
            source: Where the record came from.

        Returns:
            The configuration in the record, None for a record of another kind or an invalid one.
        """
        config = self._decode(record)
        if config is not None and self._active.swap(config, replace_equal=True):
            self._events.write(
                Event.CONFIG_IN_FORCE,
                version=config.version,
                **position_fields(record.position),
                position=offset_of(end),
                source=source,
            )
        return config

    def order(self, record: KeyedRecord) -> RolloutOrder | None:
        """Return the order in a record, None for a record of another kind or an invalid one."""
        return self._topic.order(record)

    def evacuation(self, record: KeyedRecord) -> EvacuationOrder | None:
        """Return what a record asks of a zone, None for another kind or an invalid record."""
        return self._topic.evacuation(record)

    def apply_evacuation(self, order: EvacuationOrder, *, position: int, source: str) -> None:
        """Begin or end an evacuation; a repeated order has no effect.

        Args:
            order: What is asked of the zone.
            position: Position of its record.
            source: Where the record came from.
        """
        zone = order.availability_zone
        if order.active == (zone in self._evacuated):
            return
        self._evacuated ^= {zone}
        event = Event.ZONE_EVACUATED if order.active else Event.EVACUATION_ENDED
        self._events.write(event, zone=zone, **position_fields(position), source=source)

    def _is_order(self, record: KeyedRecord) -> bool:
        return self._topic.order(record) is not None or self.evacuation(record) is not None

    def _decode(self, record: KeyedRecord) -> ConfigSet | None:
        """Return the configuration in a record, None for none; the last two are remembered.

        A replica compares a new record with the known one before it is put in force.
        """
        for known, decoded in self._decoded:
            if known is record:
                return decoded
        config = self._topic.config(record)
        if config is not None:
            self._decoded.append((record, config))
        return config
