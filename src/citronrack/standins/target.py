"""Stand-in of a target: a small HTTP server that says which release it is."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import Any

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler, make_server
from werkzeug.wrappers import Request, Response


class _QuietHandler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, type: str, message: str, *args: Any) -> None:
        """Write nothing; the stand-in shares a terminal with tests."""


class TargetStandIn:
    """Answers each request with its release, or with status 500 when it is bad.

    Args:
        service_version: Release name that the answers carry.
        host: Address to listen on.
        port: Port to listen on, 0 for a free one.
        bad: Whether every answer is a failure.
    """

    def __init__(
        self, *, service_version: str, host: str = "127.0.0.1", port: int = 0, bad: bool = False
    ) -> None:
        self.bad = bad
        self.calls = 0
        self._service_version = service_version
        self._server: BaseWSGIServer = make_server(
            host, port, self._application, threaded=True, request_handler=_QuietHandler
        )
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="target-stand-in")

    @property
    def address(self) -> str:
        """``ip:port`` of the server."""
        return f"{self._server.host}:{self._server.port}"

    def start(self) -> None:
        """Serve in the background."""
        self._executor.submit(self._server.serve_forever, 0.05)

    def stop(self) -> None:
        """Stop serving and release the port."""
        self._server.shutdown()
        self._server.server_close()
        self._executor.shutdown()

    def _application(self, environ: Any, start_response: Any) -> Any:
        request = Request(environ)
        request.get_data()
        self.calls += 1
        status = 500 if self.bad else 200
        response = Response(f"{self._service_version} {request.path}\n", status=status)
        return response(environ, start_response)
