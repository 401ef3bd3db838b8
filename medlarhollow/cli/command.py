"""What all commands share."""

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
from .output import show_text

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
        "Address of a control replica for operators; may be repeated. "
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
        "Limit for the order with all its tries, in seconds.",
        flag=False,
        default="10",
    ),
    JSON_OPTION,
]
CHANGE_OPTIONS = [
    option(
        "request-id",
        None,
        "Identifier of the order; the same to send it again.",
        flag=False,
    ),
    option(
        "base-revision",
        None,
        "Refuse the order unless this operator revision is in force.",
        flag=False,
        default="0",
    ),
]


class UsageError(Exception):
    """Tell what is wrong with the command line."""


class FleetCommand(Command):
    """Command that talks to the fleet.

    Subclasses define ``serve``, a coroutine method that takes an
    `AdminClient` and returns a `result.Result`, and may define ``show``.
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
            return asyncio.run(self._serve())
        except UsageError as error:
            self.line_error(str(error))
            return ExitCode.USAGE

    async def serve(self, client):
        """Do what the command is for."""
        raise NotImplementedError

    def show(self, data):
        """Return an answer as text for people."""
        return show_text(data)

    def code_of(self, data):
        """Return the exit code of an answer."""
        return ExitCode.DONE

    def number(self, name, cls=float):
        """Return a number from the command line.

        Raises
        ------
        UsageError
            If the text is no number.
        """
        text = self.option(name)
        try:
            return cls(text)
        except ValueError:
            raise UsageError(
                f"--{name} '{text}': a number is needed"
            ) from None

    async def change(self, client, method, path, body=None, query=None):
        """Send a change with the identifiers of the command line."""
        return await client.change(
            method,
            path,
            body,
            query,
            request_id=self.option("request-id"),
            base_revision=self.number("base-revision", int),
        )

    def print_result(self, result):
        """Print an answer or a failure.

        Returns
        -------
        int
            Exit code.
        """
        as_json = self.option("json")
        if result.is_ok():
            data = result.ok_value
            text = json.dumps(data, indent=2) if as_json else self.show(data)
            self.io.output.write_line(_plain(text))
            return self.code_of(data)
        failure = result.err_value
        kind = failure.kind.name.lower()
        text = f"{kind}: {failure.detail}"
        if failure.revision:
            text += f" (revision in force: {failure.revision})"
        if as_json:
            body = {"error": kind, "detail": failure.detail}
            text = json.dumps({**body, "revision": failure.revision})
        self.io.error_output.write_line(_plain(text))
        return exit_code_of(failure)

    async def _serve(self):
        async with aiohttp.ClientSession() as session:
            client = AdminClient(
                session,
                self._addresses(),
                self._token(),
                self.number("timeout"),
            )
            return self.print_result(await self.serve(client))

    def _addresses(self):
        given = self.option("address")
        if given:
            return given
        text = os.environ.get(ADDRESSES_VARIABLE, _DEFAULT_ADDRESS)
        return [part.strip() for part in text.split(",") if part.strip()]

    def _token(self):
        name = self.option("token-file") or os.environ.get(TOKEN_FILE_VARIABLE)
        if not name:
            token = os.environ.get(TOKEN_VARIABLE, "")
            if not token:
                raise UsageError(
                    f"a token is needed: --token-file, {TOKEN_FILE_VARIABLE} "
                    f"or {TOKEN_VARIABLE}"
                )
            return token
        try:
            return pathlib.Path(name).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"token file: {error}") from error


def _plain(text):
    """Keep the library from reading tags such as <info> in the text."""
    return text.replace("<", "\\<")
