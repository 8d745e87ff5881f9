"""``python -m citronrack.platform`` runs a node with the settings file that the platform names."""

from __future__ import annotations

import os
import signal
import sys

SETTINGS_VARIABLE = "CITRONRACK_NODE_FILE"


def main() -> int:
    """Return the exit code of the node."""
    # A change of the settings during the imports would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .run import run_hosted

    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"{SETTINGS_VARIABLE} does not name a settings file", file=sys.stderr)
        return 2
    return run_hosted(path, write_error=lambda line: print(line, file=sys.stderr))


if __name__ == "__main__":
    exit_code = main()
    sys.stdout.flush()
    # Threads that wait for the store would keep the process for the rest of a long poll.
    os._exit(exit_code)
