"""The composition root of a node on a platform."""

from __future__ import annotations

import signal
import sys
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from functools import partial
from random import Random, SystemRandom
from typing import Any

from attrs import frozen

from ..calls import CallRecord, CallServer, ViewHolder
from ..calls.authentication import Authenticator
from ..calls.budget import RetryBudgets
from ..calls.headers import HeaderNames
from ..calls.limits import SWITCH_INTERVAL_S, WireLimits
from ..calls.message import Request, Response
from ..calls.notice import NoticeDecoder
from ..calls.path import CallPath, OwnTarget, PathSettings, make_call_path
from ..calls.record import ResponseRecord
from ..calls.suspects import Suspects
from ..clock import BootClock, Clock, SystemClock
from ..errors import SettingsError
from ..mailbox import Mailbox
from ..telemetry import Event, EventLog
from ..telemetry.exposition import Exposition
from ..telemetry.logs import LINES_PER_SECOND
from ..transport.loop import CoreTask
from ..transport.zmq_transport import ZmqTransport
from ..validators import split_address
from .allotments import Allotments
from .control import ControlHandler, ReportDecoder, readiness_handler
from .core import HostedCore
from .dependencies import CoreDependencies, OperatorTopic
from .entry import NodeEntry
from .messages import (
    CallReported,
    DependencyFailed,
    ExitRequested,
    LocalTargetEnded,
    StopRequested,
    TargetStated,
)
from .metrics import metrics_handler, register_gauges
from .publish import PublishTask
from .readers import ReaderTimings
from .settings import HostedSettings
from .signals import SignalInbox
from .store import MESH_TOPIC, KeyedStore
from .target import OwnTargetTracker
from .trust import ConfigTrust
from .watch import WatchTask

FIXED_THREADS = 12  # core, watches, writer, event log, five listeners, two spare
CONTROL_CONNECTIONS = 16

MESH_ID = "hosted"
"""Identifies the mesh in transport frames; frames of other programs on the port are dropped."""

RETRY_STATUSES = frozenset({500, 502, 503, 504})
"""Statuses of a target that are retried. Routes of the platform state which calls are idempotent,
so failures of the target itself may be retried too."""

RETRY_SHARE = 0.5
"""Fraction of the allowed retries that nodes use; the rest covers uneven traffic."""

STOP_NOTICE_S = 2.5
"""Time after SIGTERM in which calls are still accepted: callers are routed elsewhere after two
failed readiness probes, a second apart."""

STOP_RESERVE_SHARE = 0.12
"""Share of the grace time between the end of the last call and SIGKILL. A call that its target is
still working on in the last sixth of the grace time may be given up."""

RECONNECT_MAX_MS = 300
"""Longest pause between attempts to connect to a node. A node that restarts while the store is
unavailable knows no other node until one connects to it."""

MESH_READ_PAUSE_S = 5.0
"""Pause between reads of the mesh topic; changes of known nodes spread by gossip, so reads only
discover new nodes."""

LOG_FLUSH_S = 0.3
"""Longest wait for the last log lines at shutdown."""

RESTART_PAUSE_S = 0.5
"""Pause before a task that failed with an unexpected error is started again."""

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})

SETTINGS_CHECK_INTERVAL_S = 2.0
"""Interval of checks for changed settings; they may change without a signal."""


@frozen
class PlatformAdapter:
    """Platform-specific settings, formats and clients.

    Attributes:
        settings: The node's settings.
        headers: Names of headers of callers and targets.
        operator: Codec of the operator's records.
        make_store: Returns a new connection to the store.
        decode_report: Decodes reports of the target.
        decode_notice: Decodes what targets state in the headers of their answers.
        is_readiness_request: Returns whether method and path are those of a readiness probe.
        reload: Reads the settings again; returns whether they have changed. Raises `SettingsError`
            if they are invalid; the previous ones stay in use.
    """

    settings: HostedSettings
    headers: HeaderNames
    operator: OperatorTopic
    make_store: Callable[[], KeyedStore]
    decode_report: ReportDecoder
    decode_notice: NoticeDecoder
    is_readiness_request: Callable[[str, str], bool]
    reload: Callable[[], bool]


class HostedNode:
    """A running node; created by `compose`."""

    def __init__(
        self,
        *,
        adapter: PlatformAdapter,
        executor: ThreadPoolExecutor,
        events: EventLog,
        mailbox: Mailbox,
        call_path: CallPath,
        core_task: CoreTask,
        tasks: tuple[WatchTask | PublishTask, ...],
        servers: tuple[CallServer, ...],
    ) -> None:
        self._adapter = adapter
        self._executor = executor
        self._events = events
        self._mailbox = mailbox
        self._call_path = call_path
        self._core_task = core_task
        self._tasks = tasks
        self._servers = servers
        self._signals = SignalInbox((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        self._log_writer: Future[None] | None = None

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        self.start()
        while not (received := self._signals.wait(SETTINGS_CHECK_INTERVAL_S)) & STOP_SIGNALS:
            self._check_settings(signalled=signal.SIGHUP in received)
        self.stop()

    def start(self) -> None:
        """Start all tasks."""
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._log_writer = self._executor.submit(self._events.run)
        for task in self._tasks:
            self._executor.submit(self._keep_running, task)
        runners = [self._core_task.run]
        runners += [server.run for server in self._servers]
        runners += [self._call_path.calls.run, self._call_path.deliveries.run]
        for runner in runners:
            self._executor.submit(self._run_task, runner)
        settings = self._adapter.settings
        self._events.write(
            Event.NODE_STARTED, zone=settings.availability_zone, service=settings.service
        )

    def stop(self) -> None:
        """Leave the mesh, drain calls, then stop all tasks."""
        grace_s = self._adapter.settings.bounds.grace_s
        end = time.monotonic() + (1.0 - STOP_RESERVE_SHARE) * grace_s
        self._call_path.begin_stop(end)
        self._events.write(Event.NODE_STOPPING)
        self._mailbox.put(StopRequested())
        time.sleep(min(STOP_NOTICE_S, max(0.0, end - time.monotonic())))
        complete = self._call_path.stop(max(0.0, end - time.monotonic()))
        self._events.write(Event.DRAIN_FINISHED, complete=complete)
        self._mailbox.put(ExitRequested())
        for task in self._tasks:
            task.stop()
        for server in self._servers:
            server.stop()
        self._events.write(Event.NODE_STOPPED)
        self._events.stop()
        if self._log_writer is not None:
            wait([self._log_writer], timeout=LOG_FLUSH_S)

    def _check_settings(self, *, signalled: bool) -> None:
        try:
            changed = self._adapter.reload()
        except SettingsError as error:
            self._events.write(Event.SETTINGS_REFUSED, reason=str(error))
            return
        if changed or signalled:
            self._events.write(Event.SETTINGS_CHANGED, signalled=signalled)

    def _keep_running(self, task: WatchTask | PublishTask) -> None:
        """Run a task of the store until it is stopped; start it again after an unexpected error."""
        while True:
            try:
                task.run()
                return
            except Exception as error:
                self._events.write(
                    Event.TASK_FAILED, task=type(task).__qualname__, error=repr(error)
                )
                time.sleep(RESTART_PAUSE_S)

    def _run_task(self, runner: Any) -> None:
        try:
            runner()
        except Exception as error:
            self._events.write(Event.TASK_FAILED, task=runner.__qualname__, error=repr(error))
            self._signals.put(signal.SIGTERM)
            raise


def compose(adapter: PlatformAdapter) -> HostedNode:
    """Return a node with all its parts; its sockets are open, but no task runs yet."""
    settings = adapter.settings
    clock = SystemClock()
    boot_clock = BootClock()
    random: Random = SystemRandom()
    events = EventLog(node=settings.name, stream=sys.stdout, lines_per_second=LINES_PER_SECOND)
    mailbox = Mailbox()
    views = ViewHolder()
    metrics = Exposition()
    executor = ThreadPoolExecutor(
        FIXED_THREADS + 2 * settings.connections + CONTROL_CONNECTIONS,
        thread_name_prefix="citronrack",
    )
    suspects = Suspects(
        clock,
        events,
        publish=lambda end: mailbox.put(LocalTargetEnded(end)),
        count_refusal=lambda standing: metrics.count("suspects_refused", standing.name.lower()),
    )
    publisher = PublishTask(
        store=adapter.make_store(), post=mailbox.put, events=events, random=random
    )
    target = OwnTargetTracker(
        address=settings.addresses.target,
        service=settings.service,
        report_interval_s=settings.bounds.report_interval_s,
        clock=clock,
    )
    timings = ReaderTimings.within(settings.bounds.operator_apply_s)
    allotments = Allotments(
        slack=settings.bounds.allotment_slack, clock=boot_clock, post=mailbox.put
    )
    core = HostedCore(
        CoreDependencies(
            clock=clock,
            random=random,
            events=events,
            views=views,
            target=target,
            operator=adapter.operator,
            submit=publisher.submit,
            retry_slack=RETRY_SHARE * settings.bounds.retry_slack,
            timings=timings,
            boot_clock=boot_clock,
            seeds=tuple(f"tcp://{seed}" for seed in settings.seeds),
            suspects=suspects,
            allotments=allotments,
            allotment_slack=settings.bounds.allotment_slack,
            trust=ConfigTrust(
                boot_clock,
                newest_s=settings.bounds.config_apply_s,
                revoke_s=settings.bounds.unconfirmed_s,
            ),
        ),
        own=_own_entry(settings, clock),
    )
    budget = RetryBudgets(ratio=RETRY_SHARE * settings.bounds.retry_ratio)
    call_path = _call_path(
        adapter, core, views, mailbox, executor, events, metrics, budget, suspects, allotments
    )
    metrics.set_source("requests_suspected", lambda: len(suspects))
    core.callbacks.set_slots = call_path.admission.resize
    core.callbacks.set_cold_rate = partial(
        call_path.admission.set_cold_rate, burst_s=settings.bounds.cold_burst_s
    )
    core.callbacks.set_retry_burst = budget.set_burst
    transport = ZmqTransport(
        address=f"tcp://{settings.addresses.peers}",
        mesh_id=MESH_ID,
        key=b"",
        clock=clock,
        on_rejected=lambda reason, count: events.write(
            Event.MESSAGE_REJECTED, reason=reason, count=count
        ),
        reconnect_max_ms=RECONNECT_MAX_MS,
    )
    operator_watch = WatchTask(
        adapter.operator.name,
        store=adapter.make_store(),
        post=mailbox.put,
        random=random,
        clock=boot_clock,
        wait_s=timings.wait_s,
        needed=not settings.seeds,
    )
    mesh_watch = WatchTask(
        MESH_TOPIC,
        store=adapter.make_store(),
        post=mailbox.put,
        random=random,
        clock=boot_clock,
        pause_s=MESH_READ_PAUSE_S,
        needed=False,
    )

    def read_topics(needed: bool) -> None:
        operator_watch.set_needed(needed, position=core.position(adapter.operator.name))
        mesh_watch.set_needed(needed, position=core.position(MESH_TOPIC))

    core.callbacks.read_topics = read_topics
    core.callbacks.read_nodes = lambda: mesh_watch.set_needed(
        True, position=core.position(MESH_TOPIC)
    )
    core.callbacks.reread_operator = operator_watch.reread
    core.start()
    register_gauges(metrics, core, call_path, events, transport)
    return HostedNode(
        adapter=adapter,
        executor=executor,
        events=events,
        mailbox=mailbox,
        call_path=call_path,
        core_task=CoreTask(
            core=core,
            transport=transport,
            mailbox=mailbox,
            clock=clock,
            stop_message=ExitRequested,
            on_error=events.write_input_failure,
        ),
        tasks=(operator_watch, mesh_watch, publisher),
        servers=_servers(adapter, core, mailbox, executor, events, metrics),
    )


def _own_entry(settings: HostedSettings, clock: Clock) -> NodeEntry:
    return NodeEntry(
        name=settings.name,
        boot=clock.wall_ms(),
        revision=0,
        availability_zone=settings.availability_zone,
        peer_address=settings.addresses.peers,
        deliver_address=settings.addresses.deliveries,
        link_mbps=settings.link_mbps,
    )


def _call_path(
    adapter: PlatformAdapter,
    core: HostedCore,
    views: ViewHolder,
    mailbox: Mailbox,
    executor: ThreadPoolExecutor,
    events: EventLog,
    metrics: Exposition,
    budget: RetryBudgets,
    suspects: Suspects,
    allotments: Allotments,
) -> CallPath:
    settings = adapter.settings

    def report(record: CallRecord) -> None:
        name = "delivered" if record.delivered_here else "attempts"
        metrics.count(name, record.route, str(record.status), record.verdict.value)
        if record.delivered_here:
            metrics.observe("delivery_seconds", record.latency_s, record.route)
            mailbox.put(CallReported(record), wake=False)

    def on_response(record: ResponseRecord) -> None:
        if record.status >= 500 and record.service != settings.service:
            mailbox.put(DependencyFailed(), wake=False)
        metrics.count("calls", record.route, str(record.status), record.verdict.value)
        metrics.count("workspace_calls", record.workspace, record.verdict.value)
        metrics.observe("call_seconds", record.seconds, record.route)
        events.write(
            Event.CALL_ANSWERED,
            request_id=record.request_id,
            route=record.route,
            version=record.service_version,
            status=record.status,
            verdict=record.verdict.value,
            ms=round(record.seconds * 1000, 1),
            targets=record.targets,
            config_version=record.config_version,
            reason=record.reason,
            workspace=record.workspace,
        )

    return make_call_path(
        PathSettings(
            name=settings.name,
            availability_zone=settings.availability_zone,
            key=b"",
            link_one_way_s=settings.link_one_way_ms / 1000,
            connections=settings.connections,
            names=adapter.headers,
            service=settings.service,
            retry_statuses=RETRY_STATUSES,
            decode_notice=adapter.decode_notice,
        ),
        call_address=split_address(settings.addresses.calls),
        deliver_address=split_address(settings.addresses.deliveries),
        target=OwnTarget(
            address=split_address(settings.addresses.target),
            service=settings.service,
            service_version="",
            slots=1,
            ramp_s=0.0,
        ),
        views=views,
        events=events,
        report=report,
        executor=executor,
        random=SystemRandom(),
        identity=core.identity,
        on_response=on_response,
        budget=budget,
        on_statement=lambda statement: mailbox.put(TargetStated(statement)),
        suspects=suspects,
        authenticator=Authenticator(
            adapter.headers,
            digester=adapter.operator.digester,
            revoke_s=settings.bounds.unconfirmed_s,
            count_refusal=lambda reason: metrics.count("keys_refused", reason),
        ),
        limits_of_workspaces=allotments,
    )


def _servers(
    adapter: PlatformAdapter,
    core: HostedCore,
    mailbox: Mailbox,
    executor: ThreadPoolExecutor,
    events: EventLog,
    metrics: Exposition,
) -> tuple[CallServer, ...]:
    """Return the listeners of reports, readiness and metrics."""
    addresses = adapter.settings.addresses
    control = ControlHandler(decode_report=adapter.decode_report, post=mailbox.put, events=events)
    handlers: tuple[tuple[str, Callable[[Request], Response]], ...] = (
        (addresses.control, control.handle),
        (addresses.ready, readiness_handler(adapter.is_readiness_request, lambda: core.ready)),
        (addresses.metrics, metrics_handler(adapter.settings.metrics_path, metrics)),
    )
    return tuple(
        CallServer(
            address=split_address(address),
            handler=handler,
            executor=executor,
            limits=WireLimits(connections=CONTROL_CONNECTIONS),
            on_error=partial(events.write_input_failure, "request"),
        )
        for address, handler in handlers
    )
