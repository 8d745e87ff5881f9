"""Metrics in the Prometheus text format, scraped over HTTP."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

EXPOSED_METRICS: dict[str, tuple[str, tuple[str, ...], str]] = {
    "calls": ("counter", ("route", "status", "verdict"), "Answers to callers."),
    "workspace_calls": ("counter", ("workspace", "verdict"), "Answers to callers by workspace."),
    "keys_refused": ("counter", ("reason",), "Requests refused because of their key."),
    "attempts": ("counter", ("route", "status", "verdict"), "Attempts at a target."),
    "call_seconds": ("histogram", ("route",), "Time from the request to the end of its answer."),
    "delivery_seconds": ("histogram", ("route",), "Time that the own target took."),
    "delivered": ("counter", ("route", "status", "verdict"), "Calls given to the own target."),
    "suspects_refused": ("counter", ("standing",), "Calls refused because of ended targets."),
    "requests_suspected": ("gauge", (), "Digests of requests under which targets have ended."),
    "target_load": ("gauge", (), "Calls that run at the own target or wait for it."),
    "target_cold": ("gauge", (), "Whether the own target gets fewer calls because it is cold."),
    "zones_evacuated": ("gauge", (), "Zones whose targets get no calls, by an operator's order."),
    "config_version": ("gauge", (), "Version in force, -1 for none."),
    "config_age_seconds": (
        "gauge",
        (),
        "Time since the configuration in force was known to be the newest.",
    ),
    "config_certain_age_seconds": (
        "gauge",
        (),
        "Time since the configuration in force was the newest for certain; no key is accepted"
        " above `revoke` if `revoke_fail_closed` is set.",
    ),
    "nodes_known": ("gauge", (), "Other nodes that have not expired."),
    "records_refused": ("gauge", (), "Records of the store that could not be used."),
    "store_answers": ("gauge", (), "Whether the platform's store could be read lately."),
    "log_lines_left_out": ("gauge", (), "Log lines that exceeded their budget."),
    "messages_sent": ("gauge", (), "Messages sent to other nodes."),
    "message_bytes_sent": ("gauge", (), "Bytes of messages sent to other nodes."),
}
"""Kind, labels and meaning by name; the names are served with the prefix ``citronrack_``."""

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0)


class Exposition:
    """Registers the metrics of one process and renders them as text."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters = {
            name: Counter(_full_name(name), meaning, labels, registry=self._registry)
            for name, labels, meaning in _of_kind("counter")
        }
        self._histograms = {
            name: Histogram(
                _full_name(name), meaning, labels, buckets=BUCKETS_S, registry=self._registry
            )
            for name, labels, meaning in _of_kind("histogram")
        }
        self._gauges = {
            name: Gauge(_full_name(name), meaning, labels, registry=self._registry)
            for name, labels, meaning in _of_kind("gauge")
        }

    def count(self, name: str, *labels: str) -> None:
        """Add one to a counter."""
        self._counters[name].labels(*labels).inc()

    def observe(self, name: str, seconds: float, *labels: str) -> None:
        """Add a duration to a histogram."""
        self._histograms[name].labels(*labels).observe(seconds)

    def set_source(self, name: str, source: Callable[[], float]) -> None:
        """Let a gauge read its value from ``source`` at each scrape."""
        self._gauges[name].set_function(source)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return bytes(generate_latest(self._registry))


def _full_name(name: str) -> str:
    return f"citronrack_{name}"


def _of_kind(kind: str) -> Iterator[tuple[str, tuple[str, ...], str]]:
    for name, (of, labels, meaning) in EXPOSED_METRICS.items():
        if of == kind:
            yield name, labels, meaning
