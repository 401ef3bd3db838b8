"""Forms that many commands share: list, put and delete."""

from urllib.parse import quote

from cleo.helpers import argument

from .command import CHANGE_OPTIONS
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .fields import make_body
from .output import show_table

__all__ = ["CHANGE", "DeleteCommand", "ListCommand", "PutCommand"]

CHANGE = [*CHANGE_OPTIONS, *COMMON_OPTIONS]


class ListCommand(FleetCommand):
    """List the records of one table."""

    path = ""
    table = ""

    async def serve(self, client):
        """Read the table."""
        return await client.read(self.path)

    def show(self, data):
        """Return the table as text."""
        return show_table(data[self.table])


class DeleteCommand(FleetCommand):
    """Delete what the first argument names."""

    path = ""
    method = "DELETE"
    arguments = [argument("name", "Name.")]
    options = CHANGE

    async def serve(self, client):
        """Send the order."""
        name = quote(self.argument("name"), safe="")
        return await self.change(
            client, self.method, self.path.format(name=name)
        )


class PutCommand(FleetCommand):
    """Set a record whose name is the first argument."""

    path = ""
    record = None
    skip = ("name",)
    arguments = [argument("name", "Name.")]

    async def serve(self, client):
        """Send the order."""
        body = {"name": self.argument("name"), **self.body()}
        return await self.change(client, "PUT", self.path, body)

    def body(self):
        """Return the record without its name."""
        return make_body(self, self.record, self.skip)
