"""``python -m tests.soak`` runs soaks with fresh or given seeds and prints the findings."""

from __future__ import annotations

import argparse
import sys
import time

from .run import Soak


def main() -> int:
    """Return 1 when a guarantee was violated."""
    parser = argparse.ArgumentParser(description="Runs soaks of real processes with faults.")
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds")
    parser.add_argument("--first", type=int, default=0, help="first seed, 0 for fresh ones")
    parser.add_argument("--seconds", type=float, default=10.0, help="time with faults per seed")
    parser.add_argument("--size", type=int, default=5, help="instances")
    options = parser.parse_args()
    first = options.first or time.time_ns() // 1_000_000 % 1_000_000_000
    failed = 0
    for seed in range(first, first + options.seeds):
        soak = Soak(seed=seed, seconds=options.seconds, size=options.size)
        findings = soak.run()
        served = sum(sent.status == 200 for sent in soak.sent)
        print(f"seed {seed}: {served} of {len(soak.sent)} served, {len(soak.faults)} faults")
        for finding in findings:
            print(f"  BROKEN: {finding}")
        if findings:
            print(f"  faults: {'; '.join(soak.faults)}")
        sys.stdout.flush()
        failed += bool(findings)
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
