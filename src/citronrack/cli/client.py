"""Client of the intent API."""

from __future__ import annotations

import io
import json
import os
from typing import Any

import pycurl
from attrs import frozen

from ..errors import CitronrackError

TIMEOUT_MS = 30_000
CONNECT_TIMEOUT_MS = 2_000


class ApiUnreachable(CitronrackError):
    """The node could not be reached or sent no valid response."""


@frozen
class ApiResponse:
    """Response of the API.

    Attributes:
        status: HTTP status.
        content: Decoded JSON body.
    """

    status: int
    content: Any


class ApiClient:
    """Sends requests to one node.

    Args:
        url: Base address, such as ``http://127.0.0.1:7400``.
        token: Bearer token of operators.
        operator: Name that is recorded with confirmations and cancellations.
    """

    def __init__(self, url: str, *, token: str, operator: str = "") -> None:
        self._url = url.rstrip("/")
        self._token = token
        self._operator = operator or os.environ.get("USER", "unnamed")

    def get(self, path: str) -> ApiResponse:
        """Send a GET request.

        Raises:
            ApiUnreachable: When no complete response arrived.
        """
        return self._exchange(path, None)

    def post(self, path: str, content: Any) -> ApiResponse:
        """Send a POST request with a JSON body.

        Raises:
            ApiUnreachable: When no complete response arrived; the request may have taken effect.
        """
        return self._exchange(path, json.dumps(content).encode())

    def _exchange(self, path: str, body: bytes | None) -> ApiResponse:
        curl = pycurl.Curl()
        response_body = io.BytesIO()
        curl.setopt(pycurl.URL, self._url + path)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
        curl.setopt(pycurl.WRITEDATA, response_body)
        headers = [f"Authorization: Bearer {self._token}", f"X-Operator: {self._operator}"]
        if body is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, body)
            headers += ["Content-Type: application/json", "Expect:"]
        curl.setopt(pycurl.HTTPHEADER, headers)
        try:
            curl.perform()
            status = int(curl.getinfo(pycurl.RESPONSE_CODE))
            return ApiResponse(status, json.loads(response_body.getvalue()))
        except pycurl.error as error:
            raise ApiUnreachable(f"{self._url}{path}: {error}") from error
        except ValueError as error:
            raise ApiUnreachable(f"{self._url}{path}: the response is not valid JSON") from error
        finally:
            curl.close()
