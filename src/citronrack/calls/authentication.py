"""Finds the workspace of a request by the key that the caller presents."""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve, frozen

from ..config import KeyDigester, Route, Workspace
from .headers import HeaderNames, Headers
from .message import Request
from .view import RoutingView

NO_KEY = "no key"
UNKNOWN_KEY = "unknown key"
MAY_BE_OLD = "in a configuration that may be old"
UNCONFIRMED = "the configuration was not confirmed lately, so no key is accepted"


@frozen
class Refusal:
    """The refusal of a request because of its key.

    Attributes:
        status: HTTP status; 401 is final for callers, 503 is not.
        reason: One line of text without the key.
        headers: Further headers of the answer.
    """

    status: int
    reason: str
    headers: Headers


class Authenticator:
    """Decides whose request it is; keeps no state of connections or callers.

    Args:
        names: Names of the headers that callers and targets use.
        digester: Computed the digests of the keys in the configuration.
        revoke_s: Time without a confirmation of the configuration after which no key is accepted,
            None for no limit.
        count_refusal: Called with the reason of each refusal.
    """

    def __init__(
        self,
        names: HeaderNames,
        *,
        digester: KeyDigester | None = None,
        revoke_s: float | None = None,
        count_refusal: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._names = names
        self._digester = digester if digester is not None else KeyDigester()
        self._revoke_s = revoke_s
        self._count_refusal = count_refusal
        self._challenge = [(b"www-authenticate", names.key_scheme)] if names.key_scheme else []

    def identify(
        self, request: Request, route: Route, view: RoutingView
    ) -> Workspace | Refusal | None:
        """Return the workspace of a request, or why it is refused.

        Args:
            request: The request of a caller.
            route: Its route.
            view: The routing view by which the request is routed.

        Returns:
            The workspace that holds the key; None if the request needs no key.
        """
        if route.public or not view.config.workspaces:
            return None
        found = self._find(request, view)
        if isinstance(found, Refusal):
            self._count_refusal(found.reason)
        return found

    def forwarded(
        self, request: Request, workspace: Workspace | None, view: RoutingView
    ) -> Request:
        """Return the request as it is sent on: with the name of its workspace and without a key.

        Args:
            request: The request of a caller.
            workspace: The workspace that `identify` has found.
            view: The routing view by which the request is routed.
        """
        if not view.config.workspaces:
            return request
        headers = without_credentials(request.headers, self._names, view)
        name = workspace.name if workspace is not None else ""
        if name and self._names.workspace:
            headers = [*headers, (self._names.workspace, name.encode("latin-1"))]
        return evolve(request, headers=headers, credentials=(), workspace=name)

    def _find(self, request: Request, view: RoutingView) -> Workspace | Refusal:
        key = self._presented_key(request)
        if not key:
            return self._refusal(NO_KEY, view)
        confirmation = view.confirmation
        if confirmation.refusal:
            return Refusal(503, confirmation.refusal, [])
        if self._revoke_s is not None and confirmation.age_s > self._revoke_s:
            return Refusal(503, UNCONFIRMED, [])
        workspace = view.keys.find(self._digester.digest(key))
        return workspace if workspace is not None else self._refusal(UNKNOWN_KEY, view)

    def _presented_key(self, request: Request) -> bytes:
        """Return the key in a request, empty for none.

        Of several credentials none counts: another server may have checked another one.
        """
        if len(request.credentials) != 1:
            return b""
        scheme, _, key = request.credentials[0].strip().partition(b" ")
        return key.strip() if scheme.lower() == self._names.key_scheme.lower() else b""

    def _refusal(self, reason: str, view: RoutingView) -> Refusal:
        """Return the refusal of a request without a known key.

        A newer configuration may hold the key, or let callers without a key pass. Only a node that
        has the newest one answers 401.
        """
        if view.is_newest:
            return Refusal(401, reason, self._challenge)
        return Refusal(503, f"{reason} {MAY_BE_OLD}", [])


def without_credentials(headers: Headers, names: HeaderNames, view: RoutingView) -> Headers:
    """Return the headers that a target may get: no key while there are workspaces."""
    if not view.config.workspaces:
        return headers
    return [header for header in headers if header[0] != names.credentials]
