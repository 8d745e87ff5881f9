"""Entry point of the ``citronrack`` program."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from .. import __version__

if TYPE_CHECKING:
    from cleo.commands.command import Command

# Command modules are imported on demand, so that a node does not load benchmark or demo code.
_COMMANDS: dict[str, tuple[str, str]] = {
    "node": ("commands.node", "NodeCommand"),
    "demo": ("commands.demo", "DemoCommand"),
    "intent plan": ("commands.intent_plan", "IntentPlanCommand"),
    "intent confirm": ("commands.intent_confirm", "IntentConfirmCommand"),
    "intent cancel": ("commands.intent_cancel", "IntentCancelCommand"),
    "intent show": ("queries.intent_show", "IntentShowCommand"),
    "intent list": ("queries.intent_list", "IntentListCommand"),
    "bench": ("queries.bench", "BenchCommand"),
    "status": ("queries.status", "StatusCommand"),
    "check-config": ("queries.check_config", "CheckConfigCommand"),
    "replay": ("queries.replay", "ReplayCommand"),
    "scenario run": ("commands.scenario_run", "ScenarioRunCommand"),
    "version": ("queries.version", "VersionCommand"),
}


def _factory(module: str, name: str) -> Callable[[], Command]:
    def load() -> Command:
        command: type[Command] = getattr(
            importlib.import_module(f".{module}", package=__package__), name
        )
        return command()

    return load


def main() -> None:
    """Run the command given by the arguments and exit with its exit code.

    ``citronrack node SETTINGS`` without options does not load cleo, which takes about 4 MB of
    memory.
    """
    if len(sys.argv) == 3 and sys.argv[1] == "node" and not sys.argv[2].startswith("-"):
        from .run_node import run_node

        sys.exit(run_node(sys.argv[2], write_error=lambda line: print(line, file=sys.stderr)))
    _run_cleo()


def _run_cleo() -> None:
    from cleo.application import Application
    from cleo.loaders.factory_command_loader import FactoryCommandLoader

    application = Application("citronrack", __version__)
    application.set_command_loader(
        FactoryCommandLoader({name: _factory(*entry) for name, entry in _COMMANDS.items()})
    )
    sys.exit(application.run())
