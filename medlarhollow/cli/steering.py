"""Commands for presets, client blocks and links."""

from cleo.helpers import argument
from cleo.helpers import option

from ..messages.records import Preset
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .command import UsageError
from .fields import check_parts
from .fields import make_options
from .tables import CHANGE
from .tables import DeleteCommand
from .tables import ListCommand
from .tables import PutCommand

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
    record = Preset
    options = [
        option(
            "weight",
            "w",
            "Part of a region's traffic, as FROM:TO:PART; may be repeated.",
            flag=False,
            multiple=True,
        ),
        *make_options(Preset, ("name",)),
        *CHANGE,
    ]

    def body(self):
        """Return the record with its weights."""
        weights = []
        for text in self.option("weight"):
            source, target, part = check_parts(text, 3, "FROM:TO:PART")
            try:
                weight = float(part)
            except ValueError:
                raise UsageError(f"'{text}': PART is a number") from None
            weights.append(
                {"from_region": source, "to_region": target, "weight": weight}
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
    description = "Show the preset in force and how far its shift has come."

    async def serve(self, client):
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

    async def serve(self, client):
        """Read one page of the client blocks."""
        after = self.option("after")
        query = {"after": after} if after else None
        return await client.read(self.path, query)


class BlockPut(FleetCommand):
    """Set client blocks."""

    name = "block put"
    description = "Set client blocks, such as 10.1.0.0/16=north."
    arguments = [argument("block", "PREFIX=REGION.", multiple=True)]
    options = CHANGE

    async def serve(self, client):
        """Send the order."""
        blocks = []
        for text in self.argument("block"):
            prefix, equals, region = text.partition("=")
            if not equals:
                raise UsageError(f"'{text}': PREFIX=REGION is needed")
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
    options = CHANGE

    async def serve(self, client):
        """Send the order."""
        text = self.argument("mbit-per-s")
        try:
            limit = float(text)
        except ValueError:
            raise UsageError(f"'{text}': a number is needed") from None
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
