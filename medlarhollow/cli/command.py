"""Base class and options of all commands."""

import asyncio
import json
import os
import pathlib

import aiohttp
from cleo.commands.command import Command
from cleo.helpers import option

from .client import AdminClient
from .codes import exit_code_of
from .codes import ExitCode
from .output import format_text

__all__ = [
    "ADDRESSES_VARIABLE",
    "CHANGE_OPTIONS",
    "COMMON_OPTIONS",
    "TOKEN_FILE_VARIABLE",
    "TOKEN_VARIABLE",
    "FleetCommand",
    "UsageError",
]

ADDRESSES_VARIABLE = "MEDLARHOLLOW_ADDRESSES"
TOKEN_VARIABLE = "MEDLARHOLLOW_TOKEN"
TOKEN_FILE_VARIABLE = "MEDLARHOLLOW_TOKEN_FILE"
_DEFAULT_ADDRESS = "127.0.0.1:8090"

JSON_OPTION = option("json", None, "Print JSON.")
COMMON_OPTIONS = [
    option(
        "address",
        "a",
        "Operator address of a control replica; may be repeated. "
        f"Default: {ADDRESSES_VARIABLE}, separated by commas.",
        flag=False,
        multiple=True,
    ),
    option(
        "token-file",
        None,
        f"File with the operator's token. Default: {TOKEN_FILE_VARIABLE}, "
        f"or the token itself in {TOKEN_VARIABLE}.",
        flag=False,
    ),
    option(
        "timeout",
        None,
        "Limit for the request with all its retries, in seconds.",
        flag=False,
        default="10",
    ),
    JSON_OPTION,
]
CHANGE_OPTIONS = [
    option(
        "request-id",
        None,
        "Identifier of the request; repeat it for a retry.",
        flag=False,
    ),
    option(
        "base-revision",
        None,
        "Reject the request unless this operator revision is in force.",
        flag=False,
        default="0",
    ),
]


class UsageError(Exception):
    """Invalid command line."""


class FleetCommand(Command):
    """Command that sends a request to the fleet.

    Subclasses define ``send_request``, a coroutine method that takes an
    `AdminClient` and returns a `result.Result`, and may override
    ``format_data`` and ``exit_code``.
    """

    options = COMMON_OPTIONS

    def handle(self):
        """Run the command.

        Returns
        -------
        int
            Exit code.
        """
        try:
            return asyncio.run(self._run_async())
        except UsageError as error:
            self.line_error(str(error))
            return ExitCode.USAGE

    async def send_request(self, client):
        """Send the request of the command."""
        raise NotImplementedError

    def format_data(self, data):
        """Return a response as human-readable text."""
        return format_text(data)

    def exit_code(self, data):
        """Return the exit code of a successful response."""
        return ExitCode.DONE

    def parse_number(self, name, cls=float):
        """Return the value of a numeric option.

        Raises
        ------
        UsageError
            If the text is not a number.
        """
        text = self.option(name)
        try:
            return cls(text)
        except ValueError:
            raise UsageError(f"--{name} '{text}': must be a number") from None

    async def change(self, client, method, path, body=None, query=None):
        """Send a change with the request options of the command line."""
        return await client.change(
            method,
            path,
            body,
            query,
            request_id=self.option("request-id"),
            base_revision=self.parse_number("base-revision", int),
        )

    def print_result(self, result):
        """Print a response or a failure.

        Returns
        -------
        int
            Exit code.
        """
        as_json = self.option("json")
        if result.is_ok():
            data = result.ok_value
            text = (
                json.dumps(data, indent=2)
                if as_json
                else self.format_data(data)
            )
            self.io.output.write_line(_escape_tags(text))
            return self.exit_code(data)
        failure = result.err_value
        kind = failure.kind.name.lower()
        text = f"{kind}: {failure.detail}"
        if failure.revision:
            text += f" (revision in force: {failure.revision})"
        if as_json:
            body = {"error": kind, "detail": failure.detail}
            text = json.dumps({**body, "revision": failure.revision})
        self.io.error_output.write_line(_escape_tags(text))
        return exit_code_of(failure)

    async def _run_async(self):
        async with aiohttp.ClientSession() as session:
            client = AdminClient(
                session,
                self._addresses(),
                self._token(),
                self.parse_number("timeout"),
            )
            return self.print_result(await self.send_request(client))

    def _addresses(self):
        addresses = self.option("address")
        if addresses:
            return addresses
        text = os.environ.get(ADDRESSES_VARIABLE, _DEFAULT_ADDRESS)
        return [item.strip() for item in text.split(",") if item.strip()]

    def _token(self):
        name = self.option("token-file") or os.environ.get(TOKEN_FILE_VARIABLE)
        if not name:
            token = os.environ.get(TOKEN_VARIABLE, "")
            if not token:
                raise UsageError(
                    f"missing token: set --token-file, {TOKEN_FILE_VARIABLE} "
                    f"or {TOKEN_VARIABLE}"
                )
            return token
        try:
            return pathlib.Path(name).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"token file: {error}") from error


def _escape_tags(text):
    """Escape ``<``, which cleo would parse as a style tag."""
    return text.replace("<", "\\<")
