"""``python -m citronrack.platform`` runs a node with the settings file given by the platform."""

from __future__ import annotations

import os
import signal
import sys

SETTINGS_VARIABLE = "CITRONRACK_NODE_FILE"


def main() -> int:
    """Return the exit code of the node."""
    # SIGHUP signals changed settings; during the imports it would terminate the process.
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
    # Threads in a long poll of the store would delay a regular exit until the poll ends.
    os._exit(exit_code)
