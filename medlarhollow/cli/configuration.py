"""Commands for the whole configuration and for settings files."""

import json
import pathlib

import attrs
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option

from ..settings import load_settings
from ..settings import SettingsError
from .codes import ExitCode
from .command import CHANGE_OPTIONS
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .command import JSON_OPTION
from .command import UsageError

__all__ = ["COMMANDS"]


class ConfigurationShow(FleetCommand):
    """Show the configuration."""

    name = "configuration show"
    description = "Print the whole configuration as one JSON document."
    options = [
        option("client-blocks", None, "Include the client blocks."),
        *COMMON_OPTIONS,
    ]

    async def send_request(self, client):
        """Read the configuration."""
        flag = "true" if self.option("client-blocks") else "false"
        return await client.read("/v1/configuration", {"client_blocks": flag})

    def format_data(self, data):
        """Return the document that ``configuration apply`` accepts."""
        return json.dumps(data["configuration"], indent=2)


class ConfigurationApply(FleetCommand):
    """Apply a configuration."""

    name = "configuration apply"
    description = "Apply a JSON document as a sequence of changes."
    arguments = [argument("file", "JSON document.")]
    options = [
        option("dry-run", None, "Only show the changes."),
        *CHANGE_OPTIONS,
        *COMMON_OPTIONS,
    ]

    async def send_request(self, client):
        """Send the document."""
        try:
            text = pathlib.Path(self.argument("file")).read_text()
            body = json.loads(text)
        except (OSError, ValueError) as error:
            raise UsageError(f"{self.argument('file')}: {error}") from error
        query = {"dry_run": "true" if self.option("dry-run") else "false"}
        return await self.change(
            client, "POST", "/v1/configuration", body, query
        )

    def format_data(self, data):
        """Return one line for each change."""
        lines = [
            f"{change['change']} {json.dumps(change['body'])}"
            for change in data["changes"]
        ]
        summary = f"{data['applied']} of {len(lines)} changes applied"
        return "\n".join([*lines, f"{summary}, revision {data['revision']}"])


class SettingsCheck(Command):
    """Check a settings file."""

    name = "settings check"
    description = "Check a settings file and report all its faults."
    arguments = [argument("file", "INI file.")]
    options = [JSON_OPTION]

    def handle(self):
        """Check the file."""
        path = self.argument("file")
        faults = []
        try:
            load_settings(path)
        except SettingsError as error:
            faults = error.faults
        if self.option("json"):
            items = [attrs.asdict(fault) for fault in faults]
            self.line(json.dumps({"file": path, "faults": items}, indent=2))
        elif faults:
            for fault in faults:
                self.io.error_output.write_line(str(fault))
        else:
            self.line(f"{path}: no faults")
        return ExitCode.BAD_SETTINGS if faults else ExitCode.DONE


COMMANDS = (ConfigurationShow, ConfigurationApply, SettingsCheck)
