"""Operator requests take effect once, are refused with a reason, or are reported as unknown."""

from __future__ import annotations

import itertools
import json
import unittest
from concurrent.futures import Future
from typing import Any

from werkzeug.test import Client, TestResponse

from citronrack.api.app import MAX_BODY_BYTES, create_app
from citronrack.clock import ManualClock
from citronrack.errors import AppendRefused, AppendUnknown
from citronrack.log import Envelope, LogFold, encode_record
from citronrack.log.appender import Appended
from citronrack.log.fold import FoldState, PlanState
from citronrack.moves import Capacity
from citronrack.node.capacity import CapacityTable
from citronrack.node.status import MeshStatus, TransportStatus
from citronrack.telemetry import EventLog

TOKEN = "an-operator-token-of-a-test"
INTENT = {
    "services": [
        {
            "name": "catalogue",
            "versions": {"1.0": {"name": "1.0"}, "2.0": {"name": "2.0"}},
        }
    ],
    "routes": [
        {"name": "lookups", "prefix": "/", "service": "catalogue", "service_version": "1.0"}
    ],
}


class FakeGateway:
    """Fake node that folds its log in memory.

    ``fault`` makes the next append fail, before it takes effect for `AppendRefused`, else after.
    """

    def __init__(self) -> None:
        self.fold = LogFold()
        self.fault: type[Exception] | None = None
        self._sequence = itertools.count(1)

    @staticmethod
    def _done(value: Any) -> Future[Any]:
        future: Future[Any] = Future()
        future.set_result(value)
        return future

    def status(self) -> Future[MeshStatus]:
        """Return a fixed status."""
        status = MeshStatus(
            node="a",
            availability_zone="z",
            readiness="not ready",
            reason="the log holds no configuration",
            version=-1,
            offset=0,
            digest="",
            log_reachable=True,
            reader_role="primary",
            zones=(),
            nodes=(),
            moves=(),
            duties={},
            transport=TransportStatus(),
        )
        return self._done(status)

    def state(self) -> Future[FoldState]:
        """Return the folded state."""
        return self._done(self.fold.state)

    def capacity(self) -> Future[CapacityTable]:
        """Return a capacity table without targets of the new version."""
        return self._done(CapacityTable({("catalogue", "1.0"): Capacity(targets=2)}))

    def append(self, body: Any) -> Future[Appended]:
        """Append and fold a record."""
        fault, self.fault = self.fault, None
        answer: Future[Appended] = Future()
        if fault is AppendRefused:
            answer.set_exception(AppendRefused("log service not reached"))
            return answer
        offset = self.fold.next_offset
        envelope = Envelope("a/1", next(self._sequence), 0, body)
        self.fold.apply(offset, encode_record(envelope))
        if fault is not None:
            answer.set_exception(fault("no answer"))
        else:
            answer.set_result(Appended(offset))
        return answer

    def plan_result(self, plan_id: str, offset: int) -> Future[PlanState]:
        """Return the result of the plan in the folded state."""
        return self._done(self.fold.state.plans[plan_id])

    def state_after(self, offset: int) -> Future[FoldState]:
        """Return the folded state."""
        return self._done(self.fold.state)


class IntentApiTest(unittest.TestCase):
    """Guards against unconfirmed changes, changes applied twice and wrongly reported results."""

    def setUp(self) -> None:
        self.gateway = FakeGateway()
        self.clock = ManualClock()
        self.app = create_app(
            gateway=self.gateway,
            clock=self.clock,
            token=TOKEN,
            default_profile="spoorhout",
            requests_per_second=1000,
            events=EventLog(node="a", level="error"),
        )
        self.client = Client(self.app)

    def post(self, path: str, content: Any) -> TestResponse:
        """Send an authorized POST request."""
        headers = {"Authorization": f"Bearer {TOKEN}", "X-Operator": "op"}
        return self.client.post(path, json=content, headers=headers)

    def get(self, path: str) -> TestResponse:
        """Send an authorized GET request."""
        return self.client.get(path, headers={"Authorization": f"Bearer {TOKEN}"})

    def plan(self, intent: dict[str, Any] = INTENT) -> Any:
        """Return a plan for an intent."""
        response = self.post("/v1/plans", intent)
        self.assertEqual(response.status_code, 200, response.text)
        return response.json

    def test_plan_changes_nothing_and_confirm_takes_effect_once(self) -> None:
        """Fails if a plan takes effect without confirmation, or twice."""
        plan = self.plan()
        self.assertEqual(self.gateway.fold.next_offset, 0)
        first = self.post("/v1/plans/confirm", plan)
        self.assertEqual((first.status_code, first.json["version"]), (200, 0))
        second = self.post("/v1/plans/confirm", plan)
        self.assertEqual(second.status_code, 409)
        self.assertIn("already in force since version 0", second.json["message"])
        self.assertEqual(self.gateway.fold.next_offset, 1)

    def test_racing_operators_and_altered_or_expired_plans_are_refused(self) -> None:
        """Fails if a refused confirmation changes something or does not report the conflict."""
        ours, theirs = self.plan(), self.plan({**INTENT, "profile": "harbor-lantern"})
        theirs["change"]["put_routes"][0]["timeout_ms"] = 1
        altered = self.post("/v1/plans/confirm", theirs)
        self.assertEqual((altered.status_code, altered.json["error"]), (409, "conflict"))
        self.assertEqual(self.gateway.fold.next_offset, 0)
        late = self.plan({**INTENT, "profile": "harbor-lantern", "remove_routes": ["other"]})
        self.post("/v1/plans/confirm", ours)
        self.clock.advance(1)
        conflict = self.post("/v1/plans/confirm", late)
        self.assertEqual(conflict.status_code, 409)
        self.assertIn("version 0 is in force", conflict.json["message"])
        old = self.plan({"remove_routes": ["lookups"]})
        self.clock.advance(3600)
        expired = self.post("/v1/plans/confirm", old)
        self.assertEqual(expired.status_code, 410)
        self.assertEqual(self.gateway.fold.next_offset, 1)

    def test_lost_append_answer_is_unknown_until_queried(self) -> None:
        """Fails if a confirmation that took effect is reported as refused."""
        plan = self.plan()
        self.gateway.fault = AppendUnknown
        response = self.post("/v1/plans/confirm", plan)
        self.assertEqual((response.status_code, response.json["result"]), (202, "unknown"))
        asked = self.get(f"/v1/plans/{plan['plan_id']}")
        self.assertEqual((asked.json["result"], asked.json["version"]), ("accepted", 0))

    def test_refused_append_changed_nothing(self) -> None:
        """Fails if a definite refusal is reported as unknown, or has an effect."""
        self.gateway.fault = AppendRefused
        response = self.post("/v1/plans/confirm", self.plan())
        self.assertEqual(response.status_code, 409)
        self.assertIn("nothing was changed", response.json["message"])
        self.assertEqual(self.gateway.fold.next_offset, 0)

    def test_move_is_listed_and_cancelled(self) -> None:
        """Fails if a cancelled move stays open or its outcome is not reported."""
        self.post("/v1/plans/confirm", self.plan())
        deadline_ms = self.clock.wall_ms() + 600_000
        move = {"route": "lookups", "to_version": "2.0", "deadline_ms": deadline_ms}
        plan = self.plan({"moves": [move]})
        self.assertTrue(any("no target" in line for line in plan["warnings"]), plan["warnings"])
        confirmed = self.post("/v1/plans/confirm", plan)
        self.assertEqual(confirmed.status_code, 200, confirmed.text)
        listed = self.get("/v1/moves").json["moves"]
        self.assertEqual([entry["state"] for entry in listed], ["open"])
        move_id = listed[0]["move_id"]
        self.assertEqual(self.post(f"/v1/moves/{move_id}/cancel", {}).status_code, 200)
        self.assertEqual(self.get(f"/v1/moves/{move_id}").json["state"], "cancelled")
        self.assertEqual(self.post(f"/v1/moves/{move_id}/cancel", {}).status_code, 409)
        self.assertEqual(self.gateway.fold.config.routes["lookups"].service_version, "1.0")

    def test_bad_requests_are_rejected_with_a_message(self) -> None:
        """Fails if invalid input reaches the log or causes a server error."""
        unauthorized = self.client.post("/v1/plans", json=INTENT)
        self.assertEqual(unauthorized.status_code, 401)
        cases: list[tuple[str, str, bytes, int]] = [
            ("not JSON", "/v1/plans", b"{", 400),
            ("not a map", "/v1/plans", b"[]", 400),
            ("unknown key", "/v1/plans", b'{"rout": []}', 400),
            ("wrong type", "/v1/plans", b'{"routes": [{"name": 5}]}', 400),
            ("no such route", "/v1/plans", json.dumps({"remove_routes": [1]}).encode(), 400),
            ("too large", "/v1/plans", b" " * (MAX_BODY_BYTES + 1), 413),
            ("unknown path", "/v1/nothing", b"{}", 404),
            (
                "dangling reference",
                "/v1/plans",
                b'{"routes": [{"name": "r", "prefix": "/", "service": "s",'
                b' "service_version": "1"}]}',
                422,
            ),
        ]
        headers = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
        for name, path, body, status in cases:
            with self.subTest(name):
                response = self.client.post(path, data=body, headers=headers)
                self.assertEqual(response.status_code, status, response.text)
                self.assertTrue(response.json["message"])
        self.assertEqual(self.gateway.fold.next_offset, 0)

    def test_rate_is_limited(self) -> None:
        """Fails if one client can overload the node with API requests."""
        app = create_app(
            gateway=self.gateway,
            clock=self.clock,
            token=TOKEN,
            default_profile="spoorhout",
            requests_per_second=1,
            events=EventLog(node="a", level="error"),
        )
        codes = [Client(app).get("/healthz").status_code for _ in range(5)]
        self.assertEqual(codes, [200, 200, 429, 429, 429])

    def test_readiness_follows_the_node(self) -> None:
        """Fails if a node without configuration reports itself as ready."""
        response = self.client.get("/readyz")
        self.assertEqual(response.status_code, 503)
        self.assertIn("no configuration", response.json["reason"])
