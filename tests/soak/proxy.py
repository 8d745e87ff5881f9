"""A loopback proxy that delays or drops bytes, and resets or refuses connections."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor

_RESET = struct.pack("ii", 1, 0)
READ_BYTES = 65_536
POLL_S = 0.05


class Proxy:
    """Forwards bytes between clients and one server.

    Attributes:
        delay_s: Delay of bytes, in both directions.
        silent: Directions (``up``, ``down``) whose bytes are dropped.
        refuses: Whether new connections are reset.
    """

    def __init__(self, host: str, target: tuple[str, int], *, port: int = 0) -> None:
        self.delay_s = 0.0
        self.silent: set[str] = set()
        self.refuses = False
        self._target = target
        self._listener = socket.create_server((host, port))
        self._open: set[socket.socket] = set()
        self._executor = ThreadPoolExecutor(200)
        self._stopping = False
        self._executor.submit(self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """Address to which clients connect."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    def heal(self) -> None:
        """End all faults, and reset the connections if bytes were dropped."""
        if self.silent:
            self.reset()
        self.delay_s, self.silent, self.refuses = 0.0, set(), False

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop the proxy and close all connections."""
        self._stopping = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset()
        self._executor.shutdown()

    def _accept(self) -> None:
        while not self._stopping:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self.refuses:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                client.close()
                continue
            try:
                server = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            self._open.update((client, server))
            self._executor.submit(self._pass, client, server, "up")
            self._executor.submit(self._pass, server, client, "down")

    def _pass(self, source: socket.socket, sink: socket.socket, direction: str) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                if direction not in self.silent:
                    sink.sendall(data)
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            for connection in (source, sink):
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)
        finally:
            self._open.discard(source)
            threading.Event().wait(POLL_S)
            source.close()
