"""Find the region of a caller by the agreed client blocks."""

import asyncio
import logging

from .block_table import BlockTable

__all__ = ["CallerRegions"]

_LOG = logging.getLogger(__name__)
_POLL_S = 0.5


class CallerRegions:
    """Keep a table of client blocks up to date.

    Parameters
    ----------
    copy : FleetCopy
        Holds the agreed blocks.

    Notes
    -----
    1.9 million blocks take seconds to build into a table, so that this is
    done in a thread, and look-ups use the last table meanwhile.
    """

    def __init__(self, copy):
        self._copy = copy
        self._table = BlockTable(())
        self._built = None

    async def run(self):
        """Rebuild the table after changes of blocks, until cancelled."""
        while True:
            revision = self._copy.state.blocks_revision
            if revision != self._built:
                await self.rebuild()
                self._built = revision
            await asyncio.sleep(_POLL_S)

    async def rebuild(self):
        """Build the table of the blocks agreed on now."""
        blocks = [
            (block.prefix, block.region)
            for block in self._copy.state.client_blocks.values()
        ]
        self._table = await asyncio.to_thread(BlockTable, blocks)
        if blocks:
            _LOG.info("steering: table of %d client blocks", len(blocks))

    def find(self, address):
        """Return the region of a caller's address; empty if unknown."""
        return self._table.find(address) or ""
