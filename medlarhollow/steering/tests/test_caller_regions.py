import asyncio

from medlarhollow.configuration import apply
from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_state
from medlarhollow.messages.records import ClientBlock
from medlarhollow.messages.records import PutClientBlocks
from medlarhollow.steering.regions.caller_regions import CallerRegions


async def test_table_follows_changes_of_blocks(monkeypatch):
    """The table must include added blocks and omit removed ones."""
    monkeypatch.setattr(
        "medlarhollow.steering.regions.caller_regions._POLL_INTERVAL_S", 0.01
    )
    state = make_state()
    regions = CallerRegions(FakeStateCache(state))
    task = asyncio.create_task(regions.run())
    for region in ("north", "south", ""):
        block = ClientBlock("192.0.2.0/24", region)
        assert apply(PutClientBlocks((block,)), state, 0.0).is_ok()
        state.revision += 1
        async with asyncio.timeout(5):
            while regions.find("192.0.2.7") != region:
                await asyncio.sleep(0.01)
    task.cancel()
