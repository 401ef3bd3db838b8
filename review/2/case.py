"""Drain a server after a heartbeat with bytes that cannot be read."""

import asyncio

import aiohttp
import fleet as standins

# Encodes half of a surrogate pair: no character, and no valid UTF-8.
UNREADABLE = b"\xed\xa0\x80"


async def send_unreadable(fleet, session, name):
    """Send heartbeats of another writer to one machine, at the usual rate."""
    body = (
        b'{"service":"%b","address":"%b.99:9","zone":"ishikari-a",'
        b'"version":"%b","slots":9,"state":"ready","coldRemaining":"0ms",'
        b'"sequence":%d,"born":1700000000000}'
    )
    sequence = 0
    while True:
        sequence += 1
        data = body % (
            standins.SERVICE.encode(),
            fleet.base.encode(),
            UNREADABLE,
            sequence,
        )
        address = fleet.address(name, "control")
        url = f"http://{address}{standins.PREFIX}/Instances.Heartbeat/i-other"
        status = None
        try:
            async with session.post(
                url,
                data=data,
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        fleet.record.say(f"other writer: heartbeat to {name} gets {status}")
        await asyncio.sleep(standins.HEARTBEAT_S)


async def case(record, fleet, session, has_trouble):
    """Return whether no request reached a server after its drain."""
    zones = ["ishikari-a", "tokachi-a", "kushiro-a"] * 2
    parts = await standins.bring_up(fleet, session, zones, 60)
    if parts is None:
        return None
    _, targets, clients = parts
    await asyncio.sleep(5.0)
    leaving = targets[0]
    registry = leaving.acknowledged_by
    record.say(f"server {leaving.server_id} reports to {registry}")
    writer = None
    if has_trouble:
        writer = asyncio.create_task(send_unreadable(fleet, session, registry))
    await asyncio.sleep(0.5)
    served_from = standins.now()
    await leaving.drain()
    acknowledged_at = standins.now()
    record.say(
        f"draining of {leaving.server_id} acknowledged by "
        f"{leaving.acknowledged_by}"
    )
    # It continues to serve for longer than `drain`, then exits.
    await asyncio.sleep(10.0)
    late = [
        run
        for run in leaving.runs
        if run[0] > acknowledged_at + standins.DRAIN_S
    ]
    await leaving.stop()
    if writer is not None:
        await asyncio.sleep(5.0)
        writer.cancel()
    await clients.stop()
    standins.summarise(record, clients)
    served, sent = clients.served_since(served_from)
    record.say(f"served {served} of {sent} requests since the drain")
    for at, request_id, _ in late[:5]:
        record.say(
            f"{request_id} reached {leaving.server_id} "
            f"{at - acknowledged_at:.2f} s after the acknowledgement"
        )
    record.say(f"{len(late)} requests reached the leaving server too late")
    if fleet.find_ended():
        record.say(f"ended by themselves: {fleet.find_ended()}")
        return None
    return not late


if __name__ == "__main__":
    standins.main(case)
