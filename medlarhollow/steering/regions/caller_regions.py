"""Region of a caller according to the replicated client blocks."""

import asyncio
import logging

from .block_table import BlockTable

__all__ = ["CallerRegions"]

_LOG = logging.getLogger(__name__)
_POLL_INTERVAL_S = 0.5


class CallerRegions:
    """Look-up table of client blocks that follows the fleet state.

    Parameters
    ----------
    state_cache : FleetStateCache
        Provides the client blocks.

    Notes
    -----
    Building a table of 1.9 million blocks takes seconds, so it is done in a
    thread; look-ups use the previous table in the meantime.
    """

    def __init__(self, state_cache):
        self._state_cache = state_cache
        self._table = BlockTable(())
        self._built_revision = None

    async def run(self):
        """Rebuild the table when the blocks change, until cancelled."""
        while True:
            revision = self._state_cache.state.blocks_revision
            if revision != self._built_revision:
                await self.rebuild()
                self._built_revision = revision
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def rebuild(self):
        """Build the table from the current client blocks."""
        blocks = [
            (block.prefix, block.region)
            for block in self._state_cache.state.client_blocks.values()
        ]
        self._table = await asyncio.to_thread(BlockTable, blocks)
        if blocks:
            _LOG.info("steering: built table of %d client blocks", len(blocks))

    def find(self, address):
        """Return the region of a caller's address; empty if unknown."""
        return self._table.find(address) or ""
