"""Base classes of the list, put and delete commands."""

from urllib.parse import quote

from cleo.helpers import argument

from .command import CHANGE_OPTIONS
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .fields import make_body
from .output import format_table

__all__ = [
    "CHANGE_COMMAND_OPTIONS",
    "DeleteCommand",
    "ListCommand",
    "PutCommand",
]

CHANGE_COMMAND_OPTIONS = [*CHANGE_OPTIONS, *COMMON_OPTIONS]


class ListCommand(FleetCommand):
    """List the records of one table."""

    path = ""
    table = ""

    async def send_request(self, client):
        """Read the table."""
        return await client.read(self.path)

    def format_data(self, data):
        """Return the table as text."""
        return format_table(data[self.table])


class DeleteCommand(FleetCommand):
    """Delete the record that the first argument names."""

    path = ""
    method = "DELETE"
    arguments = [argument("name", "Name.")]
    options = CHANGE_COMMAND_OPTIONS

    async def send_request(self, client):
        """Send the request."""
        name = quote(self.argument("name"), safe="")
        return await self.change(
            client, self.method, self.path.format(name=name)
        )


class PutCommand(FleetCommand):
    """Set a record whose name is the first argument."""

    path = ""
    record_class = None
    skip = ("name",)
    arguments = [argument("name", "Name.")]

    async def send_request(self, client):
        """Send the request."""
        body = {"name": self.argument("name"), **self.body()}
        return await self.change(client, "PUT", self.path, body)

    def body(self):
        """Return the record without its name."""
        return make_body(self, self.record_class, self.skip)
