"""One soak: callers, overlapping faults, and checks of the guarantees."""

from __future__ import annotations

import http.client
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random

from attrs import define, field

from tests.platform.installation import HOST, Installation, Instance
from tests.platform.target import TargetStandIn

from ..limits import allowed, most_in_window
from .proxy import Proxy

CALLERS = 6
DRAIN_S = 2.0
RECOVERY_S = 15.0
STABILITY_S = 3.0
LIMIT_PER_S = 5.0
GRACE_SLACK_S = 1.5
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


@define
class SentRequest:
    """A request and its result at the caller; status 0 stands for no complete response."""

    request_id: str
    idempotent: bool
    status: int
    own_body: bool


@define(eq=False)
class Soak:
    """A soak with one seed.

    Attributes:
        seed: Seed of faults and calls.
        seconds: Time during which faults are injected.
        size: Number of instances.
    """

    seed: int
    seconds: float = 10.0
    size: int = 5
    sent: list[SentRequest] = field(factory=list)
    faults: list[str] = field(factory=list)
    findings: list[str] = field(factory=list)
    targets: list[TargetStandIn] = field(factory=list)
    _stopping: threading.Event = field(factory=threading.Event)
    _busy: set[str] = field(factory=set)
    _added: dict[str, str] = field(factory=dict)

    def run(self) -> list[str]:
        """Return one line per violated guarantee."""
        with Installation(size=self.size, zones=2) as mesh:
            proxies = [self._proxy_store(mesh, instance) for instance in mesh.instances]
            self.targets = [i.target for i in mesh.instances if i.target is not None]
            with ThreadPoolExecutor(CALLERS + 8) as executor:
                callers = [executor.submit(self._call_on, mesh, n) for n in range(CALLERS)]
                self._inject(mesh, proxies, executor)
                for proxy in proxies:
                    proxy.heal()
                self._check_recovery(mesh)
                self._stopping.set()
                for caller in callers:
                    caller.result()
            self._check_calls()
            self._check_leaves()
            for proxy in proxies:
                proxy.close()
        return self.findings

    def _proxy_store(self, mesh: Installation, instance: Instance) -> Proxy:
        """Insert a proxy between a node and the store, and reload the node's settings."""
        host, port = mesh.store.address.rsplit(":", 1)
        proxy = Proxy(instance.host, (host, int(port)))
        text = instance.settings.read_text()
        own = f"{proxy.address[0]}:{proxy.address[1]}"
        instance.settings.write_text(text.replace(mesh.store.address, own))
        mesh.signal(instance, signal.SIGHUP)
        return proxy

    # Faults.

    def _inject(
        self, mesh: Installation, proxies: list[Proxy], executor: ThreadPoolExecutor
    ) -> None:
        random = Random(self.seed)
        end = time.monotonic() + self.seconds
        running = []
        while time.monotonic() < end:
            name = random.choice(sorted(_FAULTS))
            index = random.randrange(self.size)
            length_s = random.uniform(0.2, 2.5)
            self.faults.append(f"{name} {index} {length_s:.1f}")
            running.append(
                executor.submit(_FAULTS[name], self, mesh, index, proxies[index], length_s)
            )
            time.sleep(random.uniform(0.1, 1.2))
        for fault in running:
            fault.result()
        mesh.store.faults.refused.clear()
        mesh.store.faults.delay_s = 0.0

    def _exclusively(self, mesh: Installation, index: int, act: Callable[[Instance], None]) -> None:
        """Act on a node's process, unless another fault acts on it already."""
        instance = mesh.instances[index]
        if instance.name in self._busy:
            return
        self._busy.add(instance.name)
        try:
            act(instance)
        finally:
            self._busy.discard(instance.name)

    def _kill(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        self._exclusively(mesh, index, lambda i: mesh.restart(i, signal.SIGKILL))

    def _terminate(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        def act(instance: Instance) -> None:
            started = time.monotonic()
            mesh.restart(instance, signal.SIGTERM)
            took = time.monotonic() - started
            if took > 4.0 + GRACE_SLACK_S:
                self.findings.append(f"{instance.name} took {took:.1f} s to stop")

        self._exclusively(mesh, index, act)

    def _pause(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        def act(instance: Instance) -> None:
            mesh.signal(instance, signal.SIGSTOP)
            time.sleep(length_s)
            mesh.signal(instance, signal.SIGCONT)

        self._exclusively(mesh, index, act)

    def _hangup(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        self._exclusively(mesh, index, lambda i: mesh.signal(i, signal.SIGHUP))

    def _silence(self, mesh: Installation, index: int, proxy: Proxy, length_s: float) -> None:
        proxy.silent = {("up", "down")[index % 2]}
        time.sleep(length_s)
        proxy.heal()

    def _delay(self, mesh: Installation, index: int, proxy: Proxy, length_s: float) -> None:
        proxy.delay_s = 0.2
        time.sleep(length_s)
        proxy.heal()

    def _reset(self, mesh: Installation, index: int, proxy: Proxy, length_s: float) -> None:
        proxy.refuses = True
        proxy.reset()
        time.sleep(length_s)
        proxy.heal()

    def _stop_store(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        mesh.store.faults.refused.add("*")
        time.sleep(length_s)
        mesh.store.faults.refused.discard("*")

    def _trim_store(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        for topic in ("keyed.op", "keyed.mesh"):
            mesh.store.trim(topic)

    def _return_store(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        copy = mesh.store.take_copy()
        time.sleep(length_s)
        mesh.store.return_from(copy, written_again="keyed.op")

    def _limit(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        """Let a target name a limit for longer than it has to be kept."""
        target = mesh.instances[index].target
        if target is None or target.statements:
            return
        target.statements["Server-Limit"] = f"{LIMIT_PER_S}"
        began = time.monotonic() + STABILITY_S
        time.sleep(STABILITY_S + 2 * length_s)
        ended = time.monotonic()
        del target.statements["Server-Limit"]
        passed = [at for _, at in target.executed if began <= at < ended]
        most = most_in_window(sorted(passed))
        if most > allowed(LIMIT_PER_S):
            self.findings.append(f"{target.target_id} got {most} calls in a window")

    def _lose_store_responses(
        self, mesh: Installation, index: int, _: Proxy, length_s: float
    ) -> None:
        mesh.store.faults.lose_answers += 2

    def _configure(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        self._added[f"added{len(self._added)}"] = mesh.services[index % len(mesh.services)]
        mesh.write_config(**self._added)

    def _replace_target(self, mesh: Installation, index: int, _: Proxy, length_s: float) -> None:
        def act(instance: Instance) -> None:
            old = instance.target
            if old is None:
                return
            old.draining = True
            time.sleep(DRAIN_S + 0.5)
            old.stop()
            name = f"i-{instance.name}-{len(self.targets)}"
            self.targets.append(mesh.start_target(instance, target_id=name))

        self._exclusively(mesh, index, act)

    # Calls.

    def _call_on(self, mesh: Installation, caller: int) -> None:
        random = Random(f"{self.seed}/{caller}")
        number = 0
        connection: http.client.HTTPConnection | None = None
        while not self._stopping.is_set():
            number += 1
            request_id = f"{caller}-{number}"
            instance = random.choice(mesh.instances)
            idempotent = random.random() < 0.5
            service = random.choice(mesh.services)
            path = f"/{service}{'' if idempotent else '-order'}/x"
            body = b"" if idempotent else random.randbytes(random.choice((10, 100_000)))
            if connection is None or random.random() < 0.5:
                connection = http.client.HTTPConnection(instance.host, instance.calls, timeout=4)
            sent = _call(connection, path, request_id, body, idempotent)
            self.sent.append(sent)
            if not sent.status:
                connection.close()
                connection = None
            time.sleep(0.01)

    # Checks.

    def _check_recovery(self, mesh: Installation) -> None:
        """Check that every node serves the newest configuration once all faults have ended."""
        paths = [f"/{name}/x" for name in [*mesh.services, *self._added]]
        for instance in mesh.instances:
            end = time.monotonic() + RECOVERY_S
            left = list(paths)
            while left and time.monotonic() < end:
                connection = http.client.HTTPConnection(instance.host, instance.calls, timeout=4)
                sent = _call(connection, left[0], f"check-{instance.name}", b"", True)
                connection.close()
                if sent.status == 200:
                    left.pop(0)
                else:
                    time.sleep(0.1)
            if left:
                self.findings.append(f"{instance.name} does not serve {left[0]} after the faults")

    def _check_calls(self) -> None:
        runs = Counter(request_id for target in self.targets for request_id, _ in target.executed)
        for sent in self.sent:
            if not sent.idempotent and runs[sent.request_id] > 1:
                self.findings.append(f"{sent.request_id} ran {runs[sent.request_id]} times")
            if (
                not sent.idempotent
                and sent.status in NOT_EXECUTED_STATUSES
                and runs[sent.request_id]
            ):
                self.findings.append(f"{sent.request_id} was answered {sent.status} and ran")
            if sent.status == 200 and not sent.own_body:
                self.findings.append(f"{sent.request_id} got the answer of another request")
            if 400 <= sent.status < 500 and sent.status not in NOT_EXECUTED_STATUSES:
                self.findings.append(f"{sent.request_id} was answered {sent.status}")

    def _check_leaves(self) -> None:
        for target in self.targets:
            left_at = target.acknowledged_leave_at
            late = [i for i, at in target.executed if left_at and at > left_at + DRAIN_S]
            if late:
                self.findings.append(f"{target.target_id} ran {late[0]} after its leaving")


def _call(
    connection: http.client.HTTPConnection,
    path: str,
    request_id: str,
    body: bytes,
    idempotent: bool,
) -> SentRequest:
    headers = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Ms": "2000"}
    try:
        connection.request("GET" if idempotent else "POST", path, body or None, headers)
        response = connection.getresponse()
        content = response.read()
    except (OSError, http.client.HTTPException):
        connection.close()
        return SentRequest(request_id, idempotent, 0, False)
    own = content == f"{request_id} {len(body)}".encode()
    return SentRequest(request_id, idempotent, response.status, own)


_Fault = Callable[[Soak, Installation, int, Proxy, float], None]

_FAULTS: dict[str, _Fault] = {
    "kill": Soak._kill,
    "terminate": Soak._terminate,
    "pause": Soak._pause,
    "hangup": Soak._hangup,
    "silence": Soak._silence,
    "delay": Soak._delay,
    "reset": Soak._reset,
    "store down": Soak._stop_store,
    "store forgets": Soak._trim_store,
    "store loses": Soak._lose_store_responses,
    "store returns": Soak._return_store,
    "limit": Soak._limit,
    "configure": Soak._configure,
    "replace target": Soak._replace_target,
}
