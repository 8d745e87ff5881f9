"""The composition root: wires all parts of a node."""

from __future__ import annotations

import secrets
import signal
import sys
import threading
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Any

from ..api.server import ApiListener
from ..calls.drain import DRAIN_NOTICE_S
from ..calls.limits import SWITCH_INTERVAL_S
from ..calls.path import CallPath, OwnTarget, PathSettings, make_call_path
from ..calls.view import ViewHolder
from ..clock import Clock, SystemClock
from ..log.appender import Appended, Appender
from ..log.fold import FoldState, PlanState
from ..log.http import HttpLogClient
from ..mailbox import Mailbox
from ..membership import Member
from ..settings import Settings
from ..telemetry import Event, EventLog, Metrics
from ..transport.zmq_transport import ZmqTransport
from ..validators import split_address
from .append_task import AppendTask
from .capacity import CapacityTable
from .control import ControlTask
from .cores import compose_core
from .mail import (
    CallReported,
    CapacityAsked,
    DrainAsked,
    PlanAwaited,
    RecordAwaited,
    StateAsked,
    StatusAsked,
    StopAsked,
)
from .reader import ReaderTask
from .status import MeshStatus

if TYPE_CHECKING:
    from ..api.app import IntentApi
    from ..proof.core_factory import CoreOptions
    from .tracing import NodeTrace

FIXED_THREADS = 8  # control, reader, append, log lines, two call listeners, API, one spare
API_THREADS = 4
BOOT_ID_BYTES = 6


class Gateway:
    """Translates API requests into messages to the tasks."""

    def __init__(self, mailbox: Mailbox, append_task: AppendTask) -> None:
        self._mailbox = mailbox
        self._append_task = append_task

    def status(self) -> Future[MeshStatus]:
        """Request the status."""
        answer: Future[MeshStatus] = Future()
        self._mailbox.put(StatusAsked(answer))
        return answer

    def state(self) -> Future[FoldState]:
        """Request the folded state."""
        answer: Future[FoldState] = Future()
        self._mailbox.put(StateAsked(answer))
        return answer

    def capacity(self) -> Future[CapacityTable]:
        """Request the capacity of the announced targets."""
        answer: Future[CapacityTable] = Future()
        self._mailbox.put(CapacityAsked(answer))
        return answer

    def append(self, body: Any) -> Future[Appended]:
        """Append a record."""
        return self._append_task.submit(body)

    def plan_result(self, plan_id: str, offset: int) -> Future[PlanState]:
        """Wait until the plan's record is folded."""
        answer: Future[PlanState] = Future()
        self._mailbox.put(PlanAwaited(plan_id, offset, answer))
        return answer

    def state_after(self, offset: int) -> Future[FoldState]:
        """Wait until the record is folded."""
        answer: Future[FoldState] = Future()
        self._mailbox.put(RecordAwaited(offset, answer))
        return answer


class Node:
    """A running node; made by `compose`."""

    def __init__(
        self,
        *,
        settings: Settings,
        executor: ThreadPoolExecutor,
        events: EventLog,
        control: ControlTask,
        tasks: dict[str, Any],
        call_path: CallPath,
        api: ApiListener,
        trace: NodeTrace | None,
    ) -> None:
        self._settings = settings
        self._executor = executor
        self._events = events
        self._control = control
        self._tasks = tasks
        self._call_path = call_path
        self._api = api
        self._trace = trace
        self._stop_requested = threading.Event()
        self._futures: list[Future[Any]] = []

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._stop_requested.set())
        self.start()
        self._stop_requested.wait()
        self.stop()

    def start(self) -> None:
        """Start all tasks."""
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        runners = [self._control.run, self._events.run, self._api.run]
        runners.extend(task.run for task in self._tasks.values())
        runners += [self._call_path.calls.run, self._call_path.deliveries.run]
        self._futures = [self._executor.submit(self._run_task, runner) for runner in runners]
        self._events.write(Event.NODE_STARTED, zone=self._settings.node.availability_zone)

    def stop(self) -> None:
        """Drain, then stop all tasks."""
        self._events.write(Event.NODE_STOPPING)
        self._control.mailbox.put(DrainAsked())
        # Calls are served for long enough that all routers can learn of the drain: refusing half of
        # the calls of a two-target pool at once exhausted the retry budget and failed 15 of 800.
        threading.Event().wait(DRAIN_NOTICE_S)
        limit_s = self._settings.calls.drain_limit_s
        self._events.write(Event.DRAIN_FINISHED, complete=self._call_path.stop(limit_s))
        for task in self._tasks.values():
            task.stop()
        self._api.stop()
        self._control.mailbox.put(StopAsked())
        self._events.write(Event.NODE_STOPPED)
        self._events.stop()
        self._executor.shutdown()
        if self._trace is not None:
            self._trace.close()

    def _run_task(self, runner: Any) -> None:
        try:
            runner()
        except Exception as error:
            self._events.write(Event.TASK_FAILED, task=runner.__qualname__, error=repr(error))
            self._stop_requested.set()
            raise


def compose(settings: Settings) -> Node:
    """Return a wired node; its sockets are open, and no task has been started."""
    clock = SystemClock()
    random: Random = SystemRandom()
    events = EventLog(node=settings.node.name, level=settings.telemetry.level)
    statsd = settings.telemetry.statsd
    metrics = Metrics(
        split_address(statsd) if statsd else None, prefix=f"citronrack.{settings.node.name}"
    )
    views = ViewHolder()
    mailbox = Mailbox()
    writer = f"{settings.node.name}/{secrets.token_hex(BOOT_ID_BYTES)}"
    append_stopping = threading.Event()
    append_task = AppendTask(
        Appender(
            client=HttpLogClient(settings.log_service.url),
            clock=clock,
            random=random,
            writer=writer,
            sleep=append_stopping.wait,
        ),
        clock=clock,
        stopping=append_stopping,
    )
    threads = FIXED_THREADS + API_THREADS + 2 * settings.calls.connections
    executor = ThreadPoolExecutor(threads, thread_name_prefix="citronrack")
    call_path = _call_path(settings, views, mailbox, executor, events)
    own = _own_member(settings, clock.wall_ms())
    seeds = _peer_addresses(settings.mesh.seeds)
    remote_seeds = {
        zone: _peer_addresses(addresses) for zone, addresses in settings.mesh.remote_seeds.items()
    }
    trace = _open_trace(settings, clock, call_path)
    if trace is not None:
        trace.begin(own, _core_options(settings, seeds, remote_seeds, writer))
    core = compose_core(
        own=own,
        seeds=seeds,
        remote_seeds=remote_seeds,
        clock=trace.clock if trace is not None else clock,
        random=trace.random if trace is not None else random,
        events=events,
        metrics=metrics,
        views=views,
        own_load=trace.clock.own_load if trace is not None else lambda: call_path.admission.load,
        writer=writer,
        append=lambda body: append_task.submit_and_post(body, mailbox),
        append_snapshot=lambda data: append_task.submit_snapshot_and_post(data, mailbox),
    )
    if trace is not None:
        core = trace.wrap(core, views=views)
    control = ControlTask(
        core=core,
        transport=ZmqTransport(
            address=f"tcp://{settings.node.peer_address}",
            mesh_id=settings.mesh.mesh_id,
            key=bytes.fromhex(settings.mesh.key),
            clock=clock,
            on_rejected=lambda reason, count: events.write(
                Event.MESSAGE_REJECTED, reason=reason, count=count
            ),
        ),
        mailbox=mailbox,
        clock=clock,
        on_error=events.write_input_failure,
    )
    reader = ReaderTask(
        client=HttpLogClient(settings.log_service.url),
        state=core,
        mailbox=mailbox,
        random=random,
        clock=clock,
    )
    gateway = Gateway(mailbox, append_task)
    api = ApiListener(
        split_address(settings.api.address),
        make_application=lambda: _make_application(settings, gateway, events),
        executor=executor,
    )
    return Node(
        settings=settings,
        executor=executor,
        events=events,
        control=control,
        tasks={"reader": reader, "append": append_task},
        call_path=call_path,
        api=api,
        trace=trace,
    )


def _open_trace(settings: Settings, clock: Clock, call_path: CallPath) -> NodeTrace | None:
    if not settings.telemetry.trace:
        return None
    from .tracing import NodeTrace

    return NodeTrace(
        settings.telemetry.trace,
        limit_bytes=settings.telemetry.trace_limit_mb * 1024 * 1024,
        clock=clock,
        own_load=lambda: call_path.admission.load,
    )


def _core_options(
    settings: Settings,
    seeds: tuple[str, ...],
    remote_seeds: dict[str, tuple[str, ...]],
    writer: str,
) -> CoreOptions:
    from ..proof.core_factory import CoreOptions

    return CoreOptions(
        seeds=seeds,
        remote_seeds=remote_seeds,
        profile=settings.profile,
        link_one_way_ms=settings.calls.link_one_way_ms,
        boot=writer.rpartition("/")[2],
    )


def _make_application(settings: Settings, gateway: Gateway, events: EventLog) -> IntentApi:
    """Return the intent API; imported lazily because most nodes never serve a request of it."""
    from ..api.app import create_app

    return create_app(
        gateway=gateway,
        clock=SystemClock(),
        token=settings.api.token,
        default_profile=settings.profile,
        requests_per_second=settings.api.requests_per_second,
        events=events,
    )


def _peer_addresses(addresses: Sequence[str]) -> tuple[str, ...]:
    return tuple(f"tcp://{address}" for address in addresses)


def _own_member(settings: Settings, incarnation: int) -> Member:
    """Return the own description, with wall time as incarnation so that a restart raises it."""
    return Member(
        name=settings.node.name,
        address=f"tcp://{settings.node.peer_address}",
        call_address=settings.node.call_address,
        deliver_address=settings.node.deliver_address,
        availability_zone=settings.node.availability_zone,
        service=settings.target.service,
        service_version=settings.target.service_version,
        incarnation=incarnation,
        slots=settings.target.slots,
    )


def _call_path(
    settings: Settings,
    views: ViewHolder,
    mailbox: Mailbox,
    executor: ThreadPoolExecutor,
    events: EventLog,
) -> CallPath:
    return make_call_path(
        PathSettings(
            name=settings.node.name,
            availability_zone=settings.node.availability_zone,
            key=bytes.fromhex(settings.mesh.key),
            balancer=settings.calls.balancer,
            link_one_way_s=settings.calls.link_one_way_ms / 1000,
            connections=settings.calls.connections,
        ),
        call_address=split_address(settings.node.call_address),
        deliver_address=split_address(settings.node.deliver_address),
        target=OwnTarget(
            address=split_address(settings.target.address),
            service=settings.target.service,
            service_version=settings.target.service_version,
            slots=settings.target.slots,
        ),
        views=views,
        events=events,
        report=lambda record: mailbox.put(CallReported(record), wake=False),
        executor=executor,
        random=SystemRandom(),
    )
