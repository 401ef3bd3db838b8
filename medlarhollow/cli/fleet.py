"""Commands for replicas, status and look-ups."""

from urllib.parse import quote

import aiohttp
from cleo.helpers import argument
from cleo.helpers import option
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from .client import get_json
from .codes import ExitCode
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .command import JSON_OPTION
from .output import show_table
from .output import show_text
from .tables import CHANGE

__all__ = ["COMMANDS", "choose_status"]


def choose_status(results):
    """Choose the answer of the replica that knows most.

    Parameters
    ----------
    results : list of result.Result
        What each replica answered.

    Returns
    -------
    result.Result
        The leader's answer, else the one with the highest revision, else
        the last failure.
    """
    answers = [result.ok_value for result in results if result.is_ok()]
    if not answers:
        return results[-1]
    return Ok(max(answers, key=lambda a: (a["is_leader"], a["revision"])))


class Status(FleetCommand):
    """Show the state of the fleet."""

    name = "status"
    description = "Show replicas, entry VMs and data centres."
    options = [
        option("check", None, "Exit with 10 if a VM is overdue."),
        *COMMON_OPTIONS,
    ]

    async def serve(self, client):
        """Ask every replica."""
        return choose_status(await client.read_all("/v1/status"))

    def code_of(self, data):
        """Tell a fleet with overdue VMs, if asked to."""
        if self.option("check") and any(vm["overdue"] for vm in data["vms"]):
            return ExitCode.OVERDUE
        return ExitCode.DONE

    def show(self, data):
        """Return the state as lines and tables."""
        plain = {
            name: value
            for name, value in data.items()
            if not isinstance(value, list)
        }
        return "\n".join(
            (
                show_text(plain),
                "\nreplicas:",
                show_table([_describe(item) for item in data["replicas"]]),
                "\ndata centres:",
                show_table(data["data_centres"]),
                "\nVMs:",
                show_table(data["vms"]),
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
        *CHANGE,
    ]

    async def serve(self, client):
        """Send the order."""
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
    options = CHANGE

    async def serve(self, client):
        """Send the order."""
        name = quote(self.argument("name"), safe="")
        return await self.change(client, "DELETE", f"/v1/replicas/{name}")


class Lookup(FleetCommand):
    """Ask entry VMs as a caller does."""

    name = "lookup"
    description = "Show the entry VMs that callers of a service are given."
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

    async def _serve(self):
        async with aiohttp.ClientSession() as session:
            return self.print_result(await self._ask(session))

    async def _ask(self, session):
        service = self.argument("service")
        query = {"service": service} if service else None
        result = fail(ErrorKind.BAD_REQUEST, "no --entry was given")
        for address in self.option("entry"):
            result = await get_json(
                session, address, "/v1/lookup", query, self.number("timeout")
            )
            if result.is_ok():
                break
        return result


def _describe(answer):
    status = answer["status"]
    if status is None:
        return _line(answer, {}, answer["error"])
    return _line(answer, status, "")


def _line(answer, status, error):
    names = ("name", "role", "term", "leader", "commit_index", "revision")
    return {
        "address": answer["address"],
        **{name: status.get(name) for name in names},
        "error": error,
    }


COMMANDS = (Status, ReplicaAdd, ReplicaRemove, Lookup)
