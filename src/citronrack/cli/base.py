"""Base class and options shared by the commands."""

from __future__ import annotations

import json
import os
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from ..errors import CitronrackError, SettingsError
from .client import ApiClient, ApiResponse, ApiUnreachable
from .exits import Exit

URL_VARIABLE = "CITRONRACK_API"
TOKEN_VARIABLE = "CITRONRACK_TOKEN"

FORMAT_OPTION = option("format", None, "text or json", flag=False, default="text")
API_OPTIONS = [
    option("api", None, f"Address of a node's API; default: ${URL_VARIABLE}", flag=False),
    option("token", None, f"Operator token; default: ${TOKEN_VARIABLE}", flag=False),
]


class UsageError(CitronrackError):
    """The command line is incomplete or invalid."""


class BaseCommand(Command):
    """Base of the commands; turns errors into exit codes."""

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            return int(self.run_command())
        except UsageError as error:
            self.line_error(f"citronrack: {error}")
            return Exit.USAGE
        except SettingsError as error:
            for fault in error.faults:
                self.line_error(fault)
            return Exit.FAILED
        except ApiUnreachable as error:
            self.line_error(f"citronrack: {error}")
            return Exit.UNREACHABLE
        except CitronrackError as error:
            self.line_error(f"citronrack: {error}")
            return Exit.FAILED

    def run_command(self) -> int:
        """Run the command and return its exit code; overridden by each command."""
        raise UsageError(f"command {self.name} is not implemented")

    @property
    def wants_json(self) -> bool:
        """Whether ``--format json`` was given."""
        chosen = self.option("format")
        if chosen not in ("text", "json"):
            raise UsageError(f"--format must be text or json, not {chosen!r}")
        return bool(chosen == "json")

    def client(self) -> ApiClient:
        """Return a client for the API given by the options or the environment."""
        url = self.option("api") or os.environ.get(URL_VARIABLE)
        token = self.option("token") or os.environ.get(TOKEN_VARIABLE)
        if not url or not token:
            raise UsageError(f"pass --api and --token, or set {URL_VARIABLE} and {TOKEN_VARIABLE}")
        return ApiClient(url, token=token)

    def write_json(self, content: Any) -> None:
        """Print a JSON document."""
        self.line(json.dumps(content, indent=2))

    def report_refusal(self, response: ApiResponse) -> int:
        """Print why the API refused the request and return the exit code."""
        message = response.content.get("message", "")
        self.line_error(f"refused ({response.content.get('error', response.status)}): {message}")
        return Exit.FAILED
