"""Unexpected errors while a connection is accepted or a request is handled."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from functools import partial
from typing import Any

from citronrack.calls import CallServer, Request, Response

from .support import LOCALHOST, Client, call


class ShortExecutor(Executor):
    """Fails to start a thread for the first task, which stays in its queue.

    Attributes:
        queued: Runs the first task.
    """

    def __init__(self) -> None:
        self.queued: Callable[[], Any] | None = None
        self._executor = ThreadPoolExecutor()

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        """Submit a task unless it is the first one."""
        if self.queued is None:
            self.queued = partial(fn, *args, **kwargs)
            raise RuntimeError("can't start new thread")
        return self._executor.submit(fn, *args, **kwargs)


class UnexpectedErrorTest(unittest.TestCase):
    """One error must end one request, not the listener or the answer."""

    def serve(self, handler: Callable[[Request], Response], executor: Executor) -> CallServer:
        """Return a running server."""
        server = CallServer(
            address=LOCALHOST,
            handler=handler,
            executor=executor,
            on_error=lambda error: self.errors.append(repr(error)),
        )
        runner = ThreadPoolExecutor(1)
        runner.submit(server.run)
        self.addCleanup(runner.shutdown)
        self.addCleanup(server.stop)
        return server

    def setUp(self) -> None:
        """Collect the reported errors."""
        self.errors: list[str] = []

    def test_error_in_a_handler(self) -> None:
        """Guards against a request that is read and then ends without an answer."""

        def handle(request: Request) -> Response:
            if request.path == "/bad":
                raise KeyError("missing")
            return Response(200)

        server = self.serve(handle, ThreadPoolExecutor())
        self.assertEqual(call(server.address, "/bad").status, 502)
        self.assertEqual(self.errors, ["KeyError('missing')"])
        self.assertEqual(call(server.address, "/good").status, 200)

    def test_no_room_for_a_thread(self) -> None:
        """Guards against a listener that ends, or a refused request that is handled later."""
        handled: list[str] = []

        def handle(request: Request) -> Response:
            handled.append(request.path)
            return Response(200)

        executor = ShortExecutor()
        server = self.serve(handle, executor)
        with Client(server.address) as refused:
            self.assertEqual(refused.call("/refused").status, 503)
            assert executor.queued is not None
            executor.queued()
            self.assertEqual(handled, [])
        self.assertEqual(call(server.address, "/x").status, 200)
