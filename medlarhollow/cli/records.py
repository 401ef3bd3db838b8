"""Commands for accounts, keys, services and routes."""

import hashlib
import os
import pathlib
from urllib.parse import quote

from cleo.helpers import argument
from cleo.helpers import option
from result import Ok

from ..configuration import generate_key
from ..configuration.keys import hash_secret
from ..configuration.keys import KEY_PATTERN
from ..messages.records import Account
from ..messages.records import ErrorKind
from ..messages.records import Route
from ..messages.records import Service
from .base_commands import CHANGE_COMMAND_OPTIONS
from .base_commands import DeleteCommand
from .base_commands import ListCommand
from .base_commands import PutCommand
from .command import CHANGE_OPTIONS
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .command import UsageError
from .fields import make_body
from .fields import make_options

__all__ = ["COMMANDS"]


class AccountList(ListCommand):
    """List accounts."""

    name = "account list"
    description = "List the client accounts."
    path = "/v1/accounts"
    table = "accounts"


class AccountPut(PutCommand):
    """Set an account."""

    name = "account put"
    description = "Set a client account with its rate and burst."
    path = "/v1/accounts"
    record_class = Account
    options = [*make_options(Account, ("name",)), *CHANGE_COMMAND_OPTIONS]


class AccountDelete(DeleteCommand):
    """Delete an account."""

    name = "account delete"
    description = "Delete a client account with its keys."
    path = "/v1/accounts/{name}"


class KeyList(ListCommand):
    """List keys."""

    name = "key list"
    description = "List the keys, without their secrets."
    path = "/v1/keys"
    table = "keys"
    options = [
        option("account", None, "Only this account.", flag=False),
        *COMMON_OPTIONS,
    ]

    async def send_request(self, client):
        """Read the keys."""
        account = self.option("account")
        query = {"account": account} if account else None
        return await client.read(self.path, query)


class KeyIssue(FleetCommand):
    """Issue a key. Its secret is generated here and never sent."""

    name = "key issue"
    description = (
        "Generate and issue a key; only its hash leaves this machine."
    )
    arguments = [argument("account", "Client account of the key.")]
    options = [
        option(
            "key-file",
            None,
            "File to store the key in; an existing key is sent again.",
            flag=False,
        ),
        CHANGE_OPTIONS[1],
        *COMMON_OPTIONS,
    ]

    async def send_request(self, client):
        """Generate the key and send its hash."""
        account = self.argument("account")
        text = self._key(account)
        match = KEY_PATTERN.fullmatch(text)
        if match is None:
            raise UsageError(f"{self.option('key-file')}: contains no key")
        key_id, secret = match.groups()
        body = {
            "key_id": key_id,
            "secret_sha256": hash_secret(secret).hex(),
        }
        # Derived from the key, so that a retry is the same request.
        result = await client.change(
            "POST",
            f"/v1/accounts/{quote(account, safe='')}/keys",
            body,
            request_id=f"key-{key_id}",
            base_revision=self.parse_number("base-revision", int),
        )
        if result.is_ok():
            return Ok({"key": text, **result.ok_value})
        if result.err_value.kind is ErrorKind.OUTCOME_UNKNOWN:
            self.io.error_output.write_line(
                f"key {key_id} may be in force; revoke it or retry with "
                "--key-file"
            )
        return result

    def _key(self, account):
        name = self.option("key-file")
        if not name:
            return generate_key(account)[0]
        try:
            with open(name, "x", opener=_open_private) as file:
                text = generate_key(account)[0]
                file.write(f"{text}\n")
        except FileExistsError:
            text = pathlib.Path(name).read_text().strip()
        except OSError as error:
            raise UsageError(f"key file: {error}") from error
        return text


def _open_private(path, flags):
    return os.open(path, flags, 0o600)


class KeyRevoke(DeleteCommand):
    """Revoke a key."""

    name = "key revoke"
    description = "Revoke a key by its identifier."
    path = "/v1/keys/{name}"


class ServiceList(ListCommand):
    """List services."""

    name = "service list"
    description = "List the services."
    path = "/v1/services"
    table = "services"


class ServicePut(PutCommand):
    """Set a service."""

    name = "service put"
    description = "Set a service, its version and announcement credential."
    path = "/v1/services"
    record_class = Service
    skip = ("name", "announce_sha256", "version")
    options = [
        option(
            "service-version",
            None,
            "Version that receives all traffic outside of a move.",
            flag=False,
            default="",
        ),
        option(
            "credential-file",
            None,
            "File with the credential; only its hash is sent.",
            flag=False,
        ),
        option(
            "announce-sha256",
            None,
            "Hash of the credential, in place of the file.",
            flag=False,
        ),
        *make_options(Service, skip),
        *CHANGE_COMMAND_OPTIONS,
    ]

    def body(self):
        """Return the record with the hash of the credential."""
        return {
            **super().body(),
            "announce_sha256": self._hash(),
            "version": self.option("service-version"),
        }

    def _hash(self):
        name = self.option("credential-file")
        if not name:
            return self.option("announce-sha256") or ""
        try:
            credential = pathlib.Path(name).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"credential file: {error}") from error
        return hashlib.sha256(credential.encode()).hexdigest()


class ServiceDelete(DeleteCommand):
    """Delete a service."""

    name = "service delete"
    description = "Delete a service that no route uses."
    path = "/v1/services/{name}"


class RouteList(ListCommand):
    """List routes."""

    name = "route list"
    description = "List the routes."
    path = "/v1/routes"
    table = "routes"


class RoutePut(FleetCommand):
    """Set a route."""

    name = "route put"
    description = "Set the route of a path prefix."
    arguments = [argument("path-prefix", "Path prefix, such as /plots.")]
    options = [*make_options(Route, ("path_prefix",)), *CHANGE_COMMAND_OPTIONS]

    async def send_request(self, client):
        """Send the request."""
        body = make_body(self, Route, ("path_prefix",))
        body["path_prefix"] = self.argument("path-prefix")
        return await self.change(client, "PUT", "/v1/routes", body)


class RouteDelete(FleetCommand):
    """Delete a route."""

    name = "route delete"
    description = "Delete the route of a path prefix."
    arguments = [argument("path-prefix", "Path prefix, such as /plots.")]
    options = [
        option("host", None, "Host of the route.", flag=False, default=""),
        *CHANGE_COMMAND_OPTIONS,
    ]

    async def send_request(self, client):
        """Send the request."""
        query = {
            "host": self.option("host"),
            "path_prefix": self.argument("path-prefix"),
        }
        return await self.change(client, "DELETE", "/v1/routes", query=query)


COMMANDS = (
    AccountList,
    AccountPut,
    AccountDelete,
    KeyList,
    KeyIssue,
    KeyRevoke,
    ServiceList,
    ServicePut,
    ServiceDelete,
    RouteList,
    RoutePut,
    RouteDelete,
)
