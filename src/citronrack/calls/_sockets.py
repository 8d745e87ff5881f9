"""Socket helpers shared by the server and the client."""

from __future__ import annotations

import contextlib
import select
import socket
import struct

# Plain integers: combining the enum members costs more than the system call.
_PEEK = int(socket.MSG_PEEK) | int(socket.MSG_DONTWAIT)
_ABORT = struct.pack("ii", 1, 0)
_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_INPUT_OR_CLOSED = select.POLLIN | select.POLLRDHUP


def set_timeouts(connection: socket.socket, *, receive_s: float, send_s: float) -> None:
    """Set the kernel's timeouts for reads and writes; a timeout raises `BlockingIOError`.

    `socket.settimeout` would add a `poll` system call to each read and write.
    """
    connection.settimeout(None)
    set_receive_timeout(connection, receive_s)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _timeval(send_s))


def set_receive_timeout(connection: socket.socket, receive_s: float) -> None:
    """Set the kernel's timeout for reads; a timeout raises `BlockingIOError`."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _timeval(receive_s))


def _timeval(seconds: float) -> bytes:
    # Zero would disable the timeout.
    microseconds = max(1_000, int(seconds * 1_000_000))
    return struct.pack("ll", *divmod(microseconds, 1_000_000))


def has_input(connection: socket.socket) -> bool:
    """Return whether a read would return at once, with data, end of stream or an error."""
    try:
        connection.recv(1, _PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def peer_has_closed(connection: socket.socket) -> bool:
    """Return whether the peer has closed the connection, also behind data that is still unread."""
    poller = select.poll()
    try:
        poller.register(connection, _INPUT_OR_CLOSED)
    except ValueError:
        return True  # This side has closed it.
    return any(events & _CLOSED for _, events in poller.poll(0))


def is_refused(address: tuple[str, int], timeout_s: float) -> bool:
    """Return whether nobody listens at an address; false if there is no answer in time."""
    try:
        socket.create_connection(address, timeout=timeout_s).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def abort(connection: socket.socket) -> None:
    """Close with a reset, so that the peer does not take truncated data for complete."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
    connection.close()
