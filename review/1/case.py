"""Evacuate a zone again after its first evacuation was ended and confirmed."""

import asyncio
import signal

import fleet as standins

ZONE = "ishikari-a"


async def case(record, fleet, session, has_trouble):
    """Return whether no request reached the evacuated zone."""
    zones = ["ishikari-a", "tokachi-a", "kushiro-a"] * 2
    parts = await standins.bring_up(fleet, session, zones, 60)
    if parts is None:
        return None
    operator, targets, clients = parts
    await asyncio.sleep(3.0)
    start, end = f"/Evacuations.Start/{ZONE}", f"/Evacuations.End/{ZONE}"
    answer = await operator.send("POST", start)
    if answer[0] != 200:
        return None
    await asyncio.sleep(4.0)

    # The order to end it goes first to a machine that freezes.
    frozen = fleet.cores[-1]
    if has_trouble:
        fleet.signal(frozen, signal.SIGSTOP)
    answer = await operator.send("POST", end, first=frozen)
    record.say(f"end of the evacuation gets {answer[0]} from {answer[2]}")
    if answer[0] != 200:
        return None
    await asyncio.sleep(1.0)
    others = [name for name in fleet.cores if name != frozen]
    answer = await operator.send("POST", start, first=others[0])
    record.say(f"second evacuation gets {answer[0]} from {answer[2]}")
    if answer[0] != 200:
        return None
    acknowledged_at = standins.now()
    await asyncio.sleep(1.0)
    if has_trouble:
        fleet.signal(frozen, signal.SIGCONT)

    # Nothing takes the zone back from here on.
    await asyncio.sleep(14.0)
    await clients.stop()
    late = [
        (at - acknowledged_at, request_id, target.server_id)
        for target in targets
        for at, request_id, _ in target.runs
        if target.zone == ZONE and at > acknowledged_at + standins.EVACUATE_S
    ]
    standins.summarise(record, clients)
    for after_s, request_id, server_id in sorted(late)[:5]:
        record.say(
            f"{request_id} reached {server_id} in {ZONE} {after_s:.2f} s "
            "after the acknowledgement"
        )
    record.say(f"{len(late)} requests reached the evacuated zone")
    if fleet.find_ended():
        record.say(f"ended by themselves: {fleet.find_ended()}")
        return None
    return not late


if __name__ == "__main__":
    standins.main(case)
