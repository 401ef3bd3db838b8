"""Commands for presets, client blocks and links."""

from cleo.helpers import argument
from cleo.helpers import option

from ..messages.records import Preset
from .base_commands import CHANGE_COMMAND_OPTIONS
from .base_commands import DeleteCommand
from .base_commands import ListCommand
from .base_commands import PutCommand
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .command import UsageError
from .fields import make_options
from .fields import split_parts

__all__ = ["COMMANDS"]


class PresetList(ListCommand):
    """List presets."""

    name = "preset list"
    description = "List the presets."
    path = "/v1/presets"
    table = "presets"


class PresetPut(PutCommand):
    """Set a preset."""

    name = "preset put"
    description = "Set a preset."
    path = "/v1/presets"
    record_class = Preset
    options = [
        option(
            "weight",
            "w",
            "Fraction of a region's traffic as FROM:TO:PART; may be repeated.",
            flag=False,
            multiple=True,
        ),
        *make_options(Preset, ("name",)),
        *CHANGE_COMMAND_OPTIONS,
    ]

    def body(self):
        """Return the record with its weights."""
        weights = []
        for text in self.option("weight"):
            from_region, to_region, fraction = split_parts(
                text, 3, "FROM:TO:PART"
            )
            try:
                weight = float(fraction)
            except ValueError:
                raise UsageError(f"'{text}': PART must be a number") from None
            weights.append(
                {
                    "from_region": from_region,
                    "to_region": to_region,
                    "weight": weight,
                }
            )
        return {**super().body(), "weights": weights}


class PresetDelete(DeleteCommand):
    """Delete a preset."""

    name = "preset delete"
    description = "Delete a preset that is not in force."
    path = "/v1/presets/{name}"


class PresetActivate(DeleteCommand):
    """Activate a preset."""

    name = "preset activate"
    description = "Start the shift of traffic to a preset."
    path = "/v1/presets/{name}/activate"
    method = "POST"


class PresetActive(FleetCommand):
    """Show the preset in force."""

    name = "preset active"
    description = "Show the preset in force and the progress of its shift."

    async def send_request(self, client):
        """Read the preset in force."""
        return await client.read("/v1/active-preset")


class BlockList(ListCommand):
    """List client blocks."""

    name = "block list"
    description = "List the client blocks."
    path = "/v1/client-blocks"
    table = "client_blocks"
    options = [
        option("after", None, "Only prefixes after this.", flag=False),
        *COMMON_OPTIONS,
    ]

    async def send_request(self, client):
        """Read one page of the client blocks."""
        after = self.option("after")
        query = {"after": after} if after else None
        return await client.read(self.path, query)


class BlockPut(FleetCommand):
    """Set client blocks."""

    name = "block put"
    description = "Set client blocks, such as 10.1.0.0/16=north."
    arguments = [argument("block", "PREFIX=REGION.", multiple=True)]
    options = CHANGE_COMMAND_OPTIONS

    async def send_request(self, client):
        """Send the request."""
        blocks = []
        for text in self.argument("block"):
            prefix, equals, region = text.partition("=")
            if not equals:
                raise UsageError(f"'{text}': PREFIX=REGION is required")
            blocks.append({"prefix": prefix, "region": region})
        body = {"blocks": blocks}
        return await self.change(client, "PUT", "/v1/client-blocks", body)


class LinkList(ListCommand):
    """List links."""

    name = "link list"
    description = "List the links between regions."
    path = "/v1/links"
    table = "links"


class LinkPut(FleetCommand):
    """Set a link."""

    name = "link put"
    description = "Set the limit of the link between two regions."
    arguments = [
        argument("from-region", "Region."),
        argument("to-region", "Region."),
        argument("mbit-per-s", "Limit in Mbit/s."),
    ]
    options = CHANGE_COMMAND_OPTIONS

    async def send_request(self, client):
        """Send the request."""
        text = self.argument("mbit-per-s")
        try:
            limit = float(text)
        except ValueError:
            raise UsageError(f"'{text}': must be a number") from None
        body = {
            "from_region": self.argument("from-region"),
            "to_region": self.argument("to-region"),
            "mbit_per_s": limit,
        }
        return await self.change(client, "PUT", "/v1/links", body)


COMMANDS = (
    PresetList,
    PresetPut,
    PresetDelete,
    PresetActivate,
    PresetActive,
    BlockList,
    BlockPut,
    LinkList,
    LinkPut,
)
