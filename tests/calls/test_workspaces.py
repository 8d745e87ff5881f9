"""Keys of callers and the header with the workspace, over real sockets."""

from __future__ import annotations

import math
import unittest
from itertools import pairwise
from typing import Any

from attrs import evolve

from citronrack.calls import RouteIndex, RoutingView, delivery
from citronrack.calls.authentication import Authenticator
from citronrack.calls.confirmation import Confirmation
from citronrack.calls.headers import HeaderNames
from citronrack.calls.workspace_limits import WorkspaceLimits
from citronrack.clock import ManualClock
from citronrack.config import KeyDigester, Workspace
from citronrack.decisions.allotment import Admission, AdmissionStatus, OverLimit
from citronrack.decisions.room import Urgency
from citronrack.telemetry import Event

from ..hosted.mesh import RecordingLog
from .support import CONFIG, Client, Mesh, Reply, call, request

NAMES = HeaderNames(credentials=b"authorization", key_scheme=b"Token", workspace=b"tenant")
DIGESTER = KeyDigester()
REVOKE_S = 5.0


def workspace(name: str, *keys: str) -> Workspace:
    """Return a workspace that holds some keys."""
    return Workspace(name, frozenset(DIGESTER.digest(key.encode()) for key in keys))


ACME, QUILL = workspace("acme", "acme-key-1", "acme-key-2"), workspace("quill", "quill-key")
ROUTES = {**CONFIG.routes, "photos": evolve(CONFIG.routes["photos"], public=True)}
KEYED = evolve(CONFIG, routes=ROUTES, workspaces={"acme": ACME, "quill": QUILL})
OPEN = evolve(CONFIG, routes=ROUTES)
FORGED = (
    "tenant: forged\r\n",
    "TENANT: forged\r\nTenant: quill\r\ntenant:\r\n",
    "connection: tenant\r\ntenant: forged\r\n",
    "connection: keep-alive, Tenant\r\n",
    "trailer: tenant\r\n",
)


class WorkspaceMesh(Mesh):
    """A mesh with the header names of workspaces."""

    def __init__(self, limits: WorkspaceLimits | None = None) -> None:
        self.log = RecordingLog()
        authenticator = Authenticator(NAMES, digester=DIGESTER, revoke_s=REVOKE_S)
        super().__init__(
            names=NAMES,
            authenticator=authenticator,
            limits_of_workspaces=limits,
            events=self.log,
        )

    def use(self, *indices: int, **fields: Any) -> None:
        """Replace fields of the views of some nodes, of all without an index."""
        confirmation = Confirmation(newest_s=2.5)
        confirmation.confirm(math.inf)
        for index in indices or range(len(self.nodes)):
            holder = self._holders[index]
            view = evolve(holder.current, **{"confirmation": confirmation, **fields})
            routes = RouteIndex(view.config.routes.values())
            holder.current = evolve(view, index=routes, keys=RoutingView(config=view.config).keys)


def values(reply: Reply) -> tuple[int, str]:
    """Return the status, and the values of the header that the target was asked for."""
    return reply.status, reply.headers.get("x-values", "")


class ScriptedLimits:
    """Limits whose results are scripted."""

    def __init__(self) -> None:
        self.result: Admission = AdmissionStatus.ADMITTED
        self.asked: list[str] = []
        self.refunded: list[str] = []

    def admit(self, workspace: str) -> Admission:
        """Return the scripted result."""
        self.asked.append(workspace)
        return self.result

    def refund(self, workspace: str) -> None:
        """Record the workspace."""
        self.refunded.append(workspace)


class LimitsTest(unittest.TestCase):
    """Requests of workspaces with limits."""

    def setUp(self) -> None:
        self.limits = ScriptedLimits()
        self.mesh = self.enterContext(WorkspaceMesh(self.limits))
        self.node = self.mesh.add()
        self.mesh.use(config=KEYED)

    def ask(
        self, path: str = "/parts", headers: str = "authorization: Token acme-key-1\r\n"
    ) -> Reply:
        """Return the answer to a request of a workspace."""
        return call(self.node.call_address, path, headers=headers)

    def test_request_beyond_the_limit(self) -> None:
        """Guards against a request beyond the limit that runs, or is told nothing of its return."""
        self.limits.result = OverLimit(0.4)
        reply = self.ask()
        self.assertEqual((reply.status, reply.verdict), (429, "not-run"))
        self.assertEqual(reply.headers["retry-after"], "0.40")
        self.assertEqual(self.node.target.calls, 0)

    def test_unknown_limit(self) -> None:
        """Guards against a final answer while no other node says whether there is room."""
        self.limits.result = AdmissionStatus.UNKNOWN
        reply = self.ask()
        self.assertEqual((reply.status, reply.verdict), (503, "not-run"))
        self.assertIn("retry-after", reply.headers)

    def test_only_requests_of_workspaces_that_may_run_count(self) -> None:
        """Guards against a limit that is used up by public routes, wrong keys or refusals."""
        self.assertEqual(self.ask("/photos", headers="").status, 200)
        self.assertEqual(self.ask(headers="authorization: Token bad\r\n").status, 401)
        self.assertEqual(self.limits.asked, [])
        self.assertEqual(self.ask().status, 200)
        self.assertEqual((self.limits.asked, self.limits.refunded), (["acme"], []))
        self.node.target.stop()
        self.assertEqual(self.ask().status, 503)
        self.assertEqual(self.limits.refunded, ["acme"])


class AuthenticationTest(unittest.TestCase):
    """Requests with and without keys."""

    def setUp(self) -> None:
        self.mesh = self.enterContext(WorkspaceMesh())
        self.first, self.second = self.mesh.add(), self.mesh.add()
        self.mesh.use(config=KEYED)

    def ask(self, headers: str, *, path: str = "/parts", asked: str = "tenant") -> tuple[int, str]:
        """Return status and values of a header at the target, the same at both nodes."""
        path += f"?do=headers:{asked}"
        first, second = (call(self.first.call_address, path, headers=headers) for _ in range(2))
        self.assertEqual(values(first), values(second))
        return values(first)

    def test_keys(self) -> None:
        """Guards against a request that passes without a key, or for another workspace."""
        for headers, expected in (
            ("authorization: Token acme-key-1\r\n", (200, "acme")),
            ("AUTHORIZATION: tOKEN   acme-key-2 \r\n", (200, "acme")),
            ("authorization: token quill-key\r\nconnection: authorization\r\n", (200, "quill")),
            ("", (401, "")),
            ("authorization:\r\n", (401, "")),
            ("authorization: Token\r\n", (401, "")),
            ("authorization: acme-key-1\r\n", (401, "")),
            ("authorization: Bearer acme-key-1\r\n", (401, "")),
            ("authorization: Token acme-key-\r\n", (401, "")),
            ("authorization: Token acme-key-1 x\r\n", (401, "")),
            ("authorization: Token acme-key-1\r\nAuthorization: Token bad\r\n", (401, "")),
            ("tenant: acme\r\n", (401, "")),
        ):
            with self.subTest(headers):
                self.assertEqual(self.ask(headers), expected)
                self.assertEqual(self.ask(headers, asked="authorization"), (expected[0], ""))
        self.assertEqual(call(self.first.call_address, "/nowhere").status, 404)
        reply = call(self.first.call_address, "/parts")
        self.assertEqual((reply.verdict, reply.headers["www-authenticate"]), ("not-run", "Token"))

    def test_public_route(self) -> None:
        """Guards against a public route that asks for a key or passes one on."""
        for key in ("", "authorization: Token acme-key-1\r\n", "authorization: Token bad\r\n"):
            for asked in ("tenant", "authorization"):
                self.assertEqual(self.ask(key, path="/photos", asked=asked), (200, ""))

    def test_forged_workspace(self) -> None:
        """Guards against a workspace that a caller names, with and without workspaces."""
        key = "authorization: Token quill-key\r\n"
        for config, shown in ((KEYED, "quill"), (OPEN, "")):
            self.mesh.use(config=config)
            for headers in FORGED:
                with self.subTest(headers, shown=shown):
                    self.assertEqual(self.ask(key + headers), (200, shown))
                    self.assertEqual(self.ask(headers, path="/photos"), (200, ""))
        self.assertEqual(self.ask(key, asked="authorization"), (200, "Token quill-key"))

    def test_forged_trailer(self) -> None:
        """Guards against a workspace or key that follows the body."""
        head = "POST {}?do=headers:{} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        body = "5\r\nphoto\r\n0\r\nTenant: acme\r\nauthorization: Token acme-key-1\r\n\r\n"
        for asked in ("tenant", "authorization"):
            with Client(self.first.call_address) as client:
                for path, status in (("/photos", 200), ("/parts", 401)):
                    client.send((head.format(path, asked) + body).encode())
                    self.assertEqual(values(client.reply()), (status, ""))

    def test_each_request_of_a_connection(self) -> None:
        """Guards against a key that counts for other requests of its connection."""
        keys = ("Token acme-key-1", "Token bad", "Bearer x", "Token quill-key", "")
        expected = [(200, "acme"), (401, ""), (401, ""), (200, "quill"), (401, "")]
        path = "/parts?do=headers:tenant"
        requests = [request(path, headers=f"authorization: {key}\r\n") for key in keys]
        with Client(self.first.call_address) as client:
            kept = []
            for data in requests:
                client.send(data)
                kept.append(values(client.reply()))
            self.assertEqual(kept, expected)
            client.send(b"".join(requests))
            received = b""
            while received.count(b"HTTP/1.1 ") < len(requests):
                received += client.socket.recv(65536)
            statuses = [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]
            self.assertEqual(statuses, [status for status, _ in expected])

    def test_configuration_that_may_be_old(self) -> None:
        """Guards against a final answer that a newer configuration would not give.

        It may hold the key, or make the route public. A withdrawn key is not accepted for longer
        than the time that is allowed without a confirmation.
        """
        confirmations = {}
        for age_s in (0.0, 2.6, REVOKE_S + 0.1, math.inf):
            confirmations[age_s] = Confirmation(ManualClock(), newest_s=2.5)
            confirmations[age_s].confirm(-age_s)
        withheld = Confirmation()
        withheld.withhold("not checked")
        for fields, expected in (
            ({"ready": False}, (503, 503, 503, 503)),
            ({"complete": False}, (200, 503, 503, 200)),
            ({"confirmation": confirmations[0.0]}, (200, 401, 401, 200)),
            ({"confirmation": confirmations[2.6]}, (200, 503, 503, 200)),
            ({"confirmation": confirmations[REVOKE_S + 0.1]}, (503, 503, 503, 200)),
            ({"confirmation": confirmations[math.inf]}, (503, 503, 503, 200)),
            ({"confirmation": withheld}, (503, 503, 503, 200)),
        ):
            with self.subTest(fields):
                self.mesh.publish()
                self.mesh.use(config=KEYED, **fields)
                keys = ("Token quill-key", "Token new", "")
                found = [self.ask(f"authorization: {key}\r\n")[0] for key in keys]
                found.append(self.ask("", path="/photos")[0])
                self.assertEqual(tuple(found), expected)

    def test_node_without_workspaces(self) -> None:
        """Guards against a key that reaches a target by way of a node with an older version."""
        self.mesh.publish(only=(self.second.name,))
        self.mesh.use(0, config=OPEN)
        self.mesh.use(1, config=KEYED)
        headers = "authorization: Token acme-key-1\r\n"
        self.assertEqual(self.ask(headers, asked="authorization"), (200, ""))

    def test_no_line_shows_a_key(self) -> None:
        """Guards against keys in log lines, and refusals whose reason no line tells."""
        for key in ("acme-key-1", "wrong-key", ""):
            header = f"authorization: Token {key}\r\n" if key else ""
            call(
                self.first.call_address, "/parts", headers=f"x-request-id: r-{key[:5]}\r\n{header}"
            )
        refused = [f for event, f in self.mesh.log.written if event is Event.CALL_REFUSED]
        reasons = {fields["request_id"]: fields["reason"] for fields in refused}
        self.assertEqual(reasons, {"r-wrong": "unknown key", "r-": "no key"})
        self.assertNotIn("-key", repr(self.mesh.log.written))


class UrgencyTest(unittest.TestCase):
    """The rank of a call at the node beside its target."""

    def test_workspace_goes_before_route(self) -> None:
        """Guards against a route that outranks a more urgent workspace."""
        route = evolve(ROUTES["parts"], priority=7)
        workspaces = {"acme": evolve(ACME, priority=2), "quill": QUILL}
        view = RoutingView(config=evolve(KEYED, workspaces=workspaces))
        found = [delivery._urgency(view, route, name) for name in ("acme", "quill", "gone", "")]
        self.assertEqual(found, [Urgency(2, 7), Urgency(0, 7), Urgency(0, 7), Urgency(0, 7)])
        order = sorted([Urgency(1, 0), Urgency(0, 9), Urgency(0, 0), Urgency(1, 3)])
        self.assertTrue(all(delivery._rank(a) < delivery._rank(b) for a, b in pairwise(order)))
