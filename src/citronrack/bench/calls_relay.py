"""A process that copies bytes between two connections: the minimum cost of a hop."""

from __future__ import annotations

import socket
import subprocess
import sys

from attrs import define, field

from .calls_load import Address

READ_BYTES = 65536


@define(eq=False)
class RelayProcess:
    """A relay of one TCP connection in its own process; it does not parse HTTP.

    Attributes:
        to: Address to which it forwards.
        address: Address on which it listens.
    """

    to: Address
    address: Address = field(default=("", 0), init=False)
    _process: subprocess.Popen[str] | None = field(default=None, init=False)

    def start(self) -> None:
        """Start the process and wait until it listens."""
        command = [sys.executable, "-m", __name__, self.to[0], str(self.to[1])]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self._process.stdout is not None
        self.address = ("127.0.0.1", int(self._process.stdout.readline()))

    def stop(self) -> None:
        """End the process."""
        if self._process is not None:
            self._process.terminate()
            self._process.communicate()


def main() -> None:
    """Relay one connection until it is closed."""
    host, port = sys.argv[1:]
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    caller, _ = listener.accept()
    server = socket.create_connection((host, int(port)))
    for connection in (caller, server):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    while data := caller.recv(READ_BYTES):
        server.sendall(data)
        caller.sendall(server.recv(READ_BYTES))


if __name__ == "__main__":
    main()
