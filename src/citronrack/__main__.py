"""Entry point of ``python -m citronrack``."""

from __future__ import annotations

from .cli.main import main

if __name__ == "__main__":
    main()
