"""Commands for status, replicas and look-ups."""

from urllib.parse import quote

import aiohttp
from cleo.helpers import argument
from cleo.helpers import option
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from .base_commands import CHANGE_COMMAND_OPTIONS
from .client import get_json
from .codes import ExitCode
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .command import JSON_OPTION
from .output import format_table
from .output import format_text

__all__ = ["COMMANDS", "choose_status"]


def choose_status(results):
    """Return the most complete status response.

    Parameters
    ----------
    results : list of result.Result
        Result of each replica.

    Returns
    -------
    result.Result
        The leader's response, else the one with the highest revision, else
        the last failure.
    """
    responses = [result.ok_value for result in results if result.is_ok()]
    if not responses:
        return results[-1]
    return Ok(
        max(
            responses,
            key=lambda response: (response["is_leader"], response["revision"]),
        )
    )


class Status(FleetCommand):
    """Show the state of the fleet."""

    name = "status"
    description = "Show replicas, entry VMs and data centres."
    options = [
        option("check", None, "Exit with 10 if a VM is overdue."),
        *COMMON_OPTIONS,
    ]

    async def send_request(self, client):
        """Query every replica."""
        return choose_status(await client.read_all("/v1/status"))

    def exit_code(self, data):
        """Return ``OVERDUE`` with ``--check`` if any VM is overdue."""
        if self.option("check") and any(vm["overdue"] for vm in data["vms"]):
            return ExitCode.OVERDUE
        return ExitCode.DONE

    def format_data(self, data):
        """Return the fleet state as lines and tables."""
        summary = {
            name: value
            for name, value in data.items()
            if not isinstance(value, list) and name != "usage"
        }
        usage = data.get("usage")
        return "\n".join(
            (
                format_text(summary),
                "\nreplicas:",
                format_table(
                    [_replica_row(item) for item in data["replicas"]]
                ),
                "\ndata centres:",
                format_table(data["data_centres"]),
                "\nusage reports:",
                format_table([usage] if usage else []),
                "\nVMs:",
                format_table(data["vms"]),
            )
        )


class ReplicaAdd(FleetCommand):
    """Add a control replica."""

    name = "replica add"
    description = "Add a control replica, or replace one that lost its disk."
    arguments = [
        argument("name", "Name of the replica."),
        argument("replica-address", "Peer address of the replica."),
    ]
    options = [
        option(
            "incarnation",
            None,
            "Incarnation of the replica's disk, from its identity file.",
            flag=False,
            default="",
        ),
        *CHANGE_COMMAND_OPTIONS,
    ]

    async def send_request(self, client):
        """Send the request."""
        body = {
            "address": self.argument("replica-address"),
            "incarnation": self.option("incarnation"),
        }
        name = quote(self.argument("name"), safe="")
        return await self.change(client, "PUT", f"/v1/replicas/{name}", body)


class ReplicaRemove(FleetCommand):
    """Remove a control replica."""

    name = "replica remove"
    description = "Remove a control replica."
    arguments = [argument("name", "Name of the replica.")]
    options = CHANGE_COMMAND_OPTIONS

    async def send_request(self, client):
        """Send the request."""
        name = quote(self.argument("name"), safe="")
        return await self.change(client, "DELETE", f"/v1/replicas/{name}")


class Lookup(FleetCommand):
    """Query entry VMs the way a caller does."""

    name = "lookup"
    description = "Show the entry VMs that a look-up returns to callers."
    arguments = [argument("service", "Service.", optional=True)]
    options = [
        option(
            "entry",
            "e",
            "Caller address of an entry VM; may be repeated.",
            flag=False,
            multiple=True,
            default=["127.0.0.1:8080"],
        ),
        option("timeout", None, "Limit in seconds.", flag=False, default="10"),
        JSON_OPTION,
    ]

    async def _run_async(self):
        async with aiohttp.ClientSession() as session:
            return self.print_result(await self._query_vms(session))

    async def _query_vms(self, session):
        service = self.argument("service")
        query = {"service": service} if service else None
        result = fail(ErrorKind.BAD_REQUEST, "no --entry was given")
        for address in self.option("entry"):
            result = await get_json(
                session,
                address,
                "/v1/lookup",
                query,
                self.parse_number("timeout"),
            )
            if result.is_ok():
                break
        return result


def _replica_row(response):
    status = response["status"]
    if status is None:
        return _make_replica_row(response, {}, response["error"])
    return _make_replica_row(response, status, "")


def _make_replica_row(response, status, error):
    names = ("name", "role", "term", "leader", "commit_index", "revision")
    return {
        "address": response["address"],
        **{name: status.get(name) for name in names},
        "error": error,
    }


COMMANDS = (Status, ReplicaAdd, ReplicaRemove, Lookup)
