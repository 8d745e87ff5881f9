"""Fuzzing of the composed core and of all files that are read.

``python -m citronrack.proof.fuzz --minutes 5`` runs all properties with changing seeds; the test
suite runs them with fixed examples. Each property is a function of a hypothesis data object.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import yaml
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from ..calls import ViewHolder
from ..clock import ManualClock
from ..config import find_faults
from ..errors import MessageRejected, SettingsError
from ..log import LogPage
from ..node.core import NodeCore
from ..node.mail import LogRead, SnapshotRead
from ..registry import Registry
from ..settings.load import parse_settings
from ..transport.messages import message_codec
from ..transport.send import Send
from . import _strategies as strategies
from .core_factory import CoreOptions, make_core
from .replay import TraceError, replay
from .source import ScenarioError, parse_scenario
from .trace import SteppedClock, TraceWriter, seeded_random, trace_core

MAX_STEPS = 14
ROUND_EXAMPLES = 200

Property = Callable[[Any], None]
PROPERTIES: Registry[Property] = Registry("property")

SETTINGS_TEXT = b"""
node: {name: a-1, availability_zone: zone-a, peer_address: "127.0.0.1:7101",
  call_address: "127.0.0.1:7201", deliver_address: "127.0.0.1:7301"}
target: {address: "127.0.0.1:7501", service: catalogue, service_version: 1.0.0, slots: 6}
mesh: {mesh_id: mesh, key: "00000000000000000000000000000000", seeds: ["127.0.0.1:7102"],
  remote_seeds: {zone-b: ["127.0.0.1:7103"]}}
log_service: {url: "http://127.0.0.1:7000"}
api: {address: "127.0.0.1:7401", token: a-long-operator-token, requests_per_second: 3.5}
calls: {connections: 20, drain_limit_s: 30}
"""
SCENARIO_TEXT = b"""
name: fuzzed
about: text
seconds: 20
needs: [moves]
world:
  deployment: spoorhout
  targets: [{service: catalogue, service_version: 2.5.0, count: 2}]
  links: {jitter_ms: 5, loss: 0.02}
events:
  - {at: 1, do: publish, route: lookups, timeout_ms: 3000}
  - {at: 2, do: herd_restart, zone: lowlands-a}
  - {at: 3, do: partition, one: lowlands-a, other: platform}
expect:
  - {at: 19, that: version_in_force, changes: 1}
  - {that: plan_result, plan: publish, result: accepted}
"""


class FuzzedNode:
    """A core whose invariants are checked after each input.

    Args:
        name: Name of the node.
        number: Number that makes the addresses unique.
    """

    def __init__(self, name: str = "own", number: int = 3) -> None:
        self.clock = ManualClock()
        self.views = ViewHolder()
        own = strategies.member(name, number)
        self.core: NodeCore = make_core(
            own=own,
            options=CoreOptions(seeds=("tcp://127.0.0.1:10000",)),
            clock=self.clock,
            random=Random(number),
            views=self.views,
            append=lambda body: None,
            append_snapshot=lambda data: None,
            own_load=lambda: 0,
        )
        self._version = -1

    def check(self, effects: list[Send]) -> None:
        """Check the invariants after an input that caused ``effects``."""
        version = self.core.active.version
        assert version >= self._version, f"reverted from version {self._version} to {version}"
        assert (
            version == self.core.fold.config.version
        ), "the fold and the active configuration have different versions"
        faults = find_faults(self.core.active.current)
        assert not faults, f"invalid configuration in force: {faults}"
        assert self.views.current.config.version <= version
        for effect in effects:
            assert message_codec.decode(message_codec.encode(effect.message)) == effect.message
        self._version = version

    def tick(self, seconds: float) -> None:
        """Advance the clock, then tick."""
        self.clock.advance(seconds)
        self.check(self.core.on_tick())

    def mail(self, mail: Any) -> None:
        """Pass a message from another task to the core."""
        self.check(self.core.handle(mail))

    def message(self, sender: str, message: Any) -> list[Send]:
        """Pass a message from another node to the core and return the messages it sends."""
        effects = self.core.on_message(sender, message)
        self.check(effects)
        return effects


def page(log: list[bytes], start: int, count: int) -> LogRead:
    """Return a page of the log, as posted by the reader task."""
    return LogRead(LogPage(0, len(log), tuple(enumerate(log[start : start + count], start))))


@PROPERTIES.register("core-inputs")
def any_input_order(data: Any) -> None:
    """A core accepts messages from nodes and tasks and ticks in any order, and stays valid."""
    node = FuzzedNode()
    log = data.draw(st.lists(strategies.records(), max_size=8))
    sender = st.integers(0, 2).map(lambda number: f"tcp://127.0.0.1:{10_000 + number}")
    for _ in range(data.draw(st.integers(1, MAX_STEPS))):
        kind = data.draw(st.sampled_from(("message", "log", "mail", "tick")))
        if kind == "message":
            node.message(data.draw(sender), data.draw(strategies.messages()))
        elif kind == "log":
            node.mail(page(log, data.draw(st.integers(0, len(log))), 4))
        elif kind == "mail":
            node.mail(data.draw(strategies.small_mail()))
        else:
            node.tick(data.draw(st.sampled_from((0.25, 1.0, 4.0, 40.0))))
    node.core.status()


@PROPERTIES.register("two-cores")
def same_log_same_state(data: Any) -> None:
    """Two cores that receive the same log in different ways reach the same state."""
    log = data.draw(st.lists(strategies.records(), min_size=1, max_size=12))
    reader, follower = FuzzedNode("a-1", 0), FuzzedNode("a-2", 1)
    while reader.core.next_offset < len(log):
        start = data.draw(st.integers(0, reader.core.next_offset))
        reader.mail(page(log, start, len(log) if start == 0 else data.draw(st.integers(1, 9))))
    if data.draw(st.booleans()):
        follower.mail(SnapshotRead(_snapshot_of(log, data.draw(st.integers(0, len(log))))))
    inbox: list[tuple[FuzzedNode, str, Any]] = []
    for _ in range(60):
        for node, other in ((reader, follower), (follower, reader)):
            node.clock.advance(0.5)
            inbox.extend(_messages_to(other, node, node.core.on_tick()))
        inbox = data.draw(st.permutations(inbox)) if len(inbox) < 6 else inbox
        for receiver, sender, message in inbox[:]:
            other = reader if receiver is follower else follower
            inbox.extend(_messages_to(other, receiver, receiver.message(sender, message)))
            inbox.pop(0)
        if follower.core.next_offset == len(log):
            break
        if data.draw(st.booleans()):
            follower.mail(page(log, data.draw(st.integers(0, len(log))), 5))
    follower.mail(page(log, follower.core.next_offset, len(log)))
    assert follower.core.fold.state == reader.core.fold.state
    assert follower.core.active.current == reader.core.active.current


def _snapshot_of(log: list[bytes], count: int) -> bytes:
    """Return a snapshot of the first ``count`` records."""
    node = FuzzedNode()
    node.mail(page(log, 0, count))
    return node.core.fold.to_snapshot()


def _messages_to(receiver: FuzzedNode, sender: FuzzedNode, effects: list[Send]) -> list[Any]:
    """Return the messages to ``receiver``."""
    own = receiver.core.parts.table.own.address
    origin = sender.core.parts.table.own.address
    return [(receiver, origin, effect.message) for effect in effects if effect.to == own]


@PROPERTIES.register("message-bytes")
def any_bytes_as_message(data: Any) -> None:
    """Damaged messages are rejected, or decode to a message that a core handles."""
    encoded = message_codec.encode(data.draw(strategies.messages()))
    damaged = data.draw(strategies.mutated(encoded))
    try:
        message = message_codec.decode(damaged)
    except MessageRejected:
        return
    node = FuzzedNode()
    node.message("tcp://127.0.0.1:10001", message)
    node.tick(1.0)


@PROPERTIES.register("settings-files")
def any_settings_text(data: Any) -> None:
    """Damaged settings raise a `SettingsError` that names the file, and no other error."""
    try:
        content = yaml.safe_load(data.draw(strategies.mutated(SETTINGS_TEXT)).decode())
    except (yaml.YAMLError, ValueError, TypeError):
        return
    try:
        parse_settings(content, source="s.yaml")
    except SettingsError as error:
        assert all(fault.startswith("s.yaml: ") for fault in error.faults)


@PROPERTIES.register("scenario-files")
def any_scenario_text(data: Any) -> None:
    """Damaged scenarios raise a `ScenarioError` with file and line, and no other error."""
    try:
        parse_scenario(data.draw(strategies.mutated(SCENARIO_TEXT)), source="s.yaml")
    except ScenarioError as error:
        for fault in error.faults:
            source, line, _ = fault.split(":", 2)
            assert source == "s.yaml"
            assert int(line) >= 1


@PROPERTIES.register("trace-files")
def any_trace_bytes(data: Any) -> None:
    """Damaged traces raise a `TraceError` with the file, and no other error."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.trace"
        path.write_bytes(data.draw(strategies.mutated(_short_trace(path))))
        try:
            replay(path)
        except TraceError as error:
            assert str(error).startswith(f"{path}:")


def _short_trace(path: Path) -> bytes:
    """Return the content of a trace with a few inputs."""
    own, options, clock = (
        strategies.member("own", 3),
        CoreOptions(),
        SteppedClock(ManualClock(), lambda: 0),
    )
    views, writer = ViewHolder(), TraceWriter(path)
    writer.begin(own=own, options=options, seed=1, clock=clock)
    core = make_core(
        own=own,
        options=options,
        clock=clock,
        random=seeded_random(1),
        views=views,
        append=lambda body: None,
        append_snapshot=lambda data: None,
        own_load=clock.own_load,
    )
    traced = trace_core(core, views=views, clock=clock, writer=writer)
    traced.on_tick()
    traced.handle(page([b"garbage"], 0, 1))
    writer.close()
    return path.read_bytes()


def check(name: str, *, examples: int, number: int | None = None) -> None:
    """Run one property; raises the first failure.

    Args:
        name: Name of the property.
        examples: Number of examples.
        number: Seed, or None for the fixed examples of the test suite.
    """
    run_property = PROPERTIES.get(name)
    configured = settings(
        max_examples=examples,
        deadline=None,
        derandomize=number is None,
        database=None,
        suppress_health_check=list(HealthCheck),
        # No shrinking: it takes up to five minutes for a whole run of a core.
        phases=(Phase.generate,),
    )

    @configured
    @given(st.data())
    def run_example(data: Any) -> None:
        run_property(data)

    (run_example if number is None else seed(number)(run_example))()


def main() -> int:
    """Run all properties with changing seeds until the time is up or one fails."""
    parser = argparse.ArgumentParser(prog="python -m citronrack.proof.fuzz")
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first round")
    parser.add_argument("--only", choices=list(PROPERTIES), help="run one property")
    options = parser.parse_args()
    names = [options.only] if options.only else list(PROPERTIES)
    end = time.monotonic() + options.minutes * 60
    number = options.seed
    rounds = 0
    while time.monotonic() < end:
        for name in names:
            try:
                check(name, examples=ROUND_EXAMPLES, number=number)
            except Exception:
                print(f"property {name} fails with --only {name} --seed {number}", file=sys.stderr)
                raise
            rounds += 1
        number += 1
    print(
        f"{rounds} rounds of {ROUND_EXAMPLES} examples passed, seeds {options.seed}..{number - 1}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
