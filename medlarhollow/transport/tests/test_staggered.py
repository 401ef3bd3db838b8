"""Attempts at several addresses."""

import asyncio

import pytest

from medlarhollow.transport import first_result

STAGGER_S = 0.02


class Attempts:
    """Attempts that hang, fail or succeed, as their addresses say."""

    def __init__(self):
        self.started = []
        self.running = 0
        self.most_running = 0

    async def run(self, address):
        self.started.append(address)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            if address.startswith("gone"):
                await asyncio.Event().wait()
            return address if address.startswith("ok") else None
        finally:
            self.running -= 1


@pytest.mark.parametrize(
    ("addresses", "expected", "started"),
    [
        ("", None, 0),
        ("ok", "ok", 1),
        ("bad bad", None, 2),
        ("bad ok", "ok", 2),
        ("gone ok", "ok", 2),
        ("gone gone gone ok bad", "ok", 4),
        ("gone bad bad ok", "ok", 4),
    ],
)
async def test_first_result(addresses, expected, started):
    """Guards against attempts that wait for addresses that are gone."""
    attempts = Attempts()
    result = await first_result(
        attempts.run, addresses.split(), STAGGER_S, concurrent=8
    )
    assert result == expected
    assert len(attempts.started) == started
    assert attempts.running == 0


async def test_attempts_at_the_same_time_are_bounded():
    """Guards a fleet without a leader against all its attempts at once."""
    attempts = Attempts()
    addresses = ["gone"] * 40
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(40 * STAGGER_S):
            await first_result(attempts.run, addresses, STAGGER_S, 8)
    assert attempts.most_running == 8
    assert attempts.running == 0


async def test_results_at_the_same_time_are_discarded():
    """Guards against a second connection that nobody ends."""
    ready = asyncio.Event()

    async def attempt(address):
        await ready.wait()
        return address

    discarded = []
    search = asyncio.create_task(
        first_result(attempt, ["a", "b"], STAGGER_S, 8, discarded.append)
    )
    await asyncio.sleep(3 * STAGGER_S)
    ready.set()
    assert await search == "a"
    assert discarded == ["b"]
