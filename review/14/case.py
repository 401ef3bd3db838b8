"""A configuration gives a route and a tenant homes with no common region."""

import asyncio
import pathlib
import uuid

from fleet import call
from fleet import CannotRunError
from fleet import Fleet
from fleet import make_document
from fleet import make_path
from fleet import make_tenant
from fleet import run_case
from fleet import Target

ZONES = {
    "ishikari-a": "ishikari",
    "tokachi-a": "tokachi",
    "kushiro-a": "kushiro",
}
CONFIG_APPLY_S = 2.5
ROUTE_HOMES = ["ishikari"]


def make_configuration(version, tenant_homes):
    """Return a configuration with homes for the route and the tenant."""
    return make_document(
        version,
        ["plantdesk"],
        [
            make_tenant("crew", "key-crew", homeRegions=tenant_homes),
            make_tenant("office", "key-office"),
        ],
        [
            make_path("/homed/", "plantdesk", homeRegions=ROUTE_HOMES),
            make_path("/free/", "plantdesk"),
        ],
    )


async def send(fleet, path, key):
    """Send a request to each front machine; return ids and statuses."""
    sent = {}
    for vm in fleet.fronts:
        request_id = uuid.uuid4().hex[:16]
        answer = await call(
            vm.ip,
            fleet.ports["front"],
            "GET",
            path,
            headers=[
                ("Host", "desk.example"),
                ("X-Request-Id", request_id),
                ("X-Deadline-Ms", "4000"),
                ("Authorization", f"Token {key}"),
            ],
            limit_s=5.0,
        )
        status = answer.status if answer else "none"
        fleet.record.add(
            f"client sends {request_id} ({key}, {path}) to {vm.name}: {status}"
        )
        sent[request_id] = status
    return sent


async def case(record, has_trouble):
    """Return whether a request ran outside the homes that bind it."""
    fleet = Fleet(record, ZONES, targets=(1, 2, 3))
    targets = [
        Target(fleet, number, "plantdesk", zone)
        for number, zone in enumerate(ZONES, 1)
    ]
    try:
        fleet.start()
        first = make_configuration("r2", ROUTE_HOMES)
        if (await fleet.put(first, "0")).status != 200:
            raise CannotRunError("the first configuration was refused")
        for target in targets:
            await target.start()
        await fleet.wait_ready()
        await asyncio.sleep(3.0)
        # All is well as long as the homes have a region in common.
        before = await send(fleet, "/homed/1", "key-crew")
        if set(before.values()) != {200}:
            raise CannotRunError(f"homed requests are not served: {before}")
        tenant_homes = ["tokachi"] if has_trouble else ROUTE_HOMES
        second = make_configuration("r5", tenant_homes)
        answer = await fleet.put(second, "r2")
        if answer.status != 200:
            record.add("the second configuration was refused: rule kept")
            return False
        await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        sent = {}
        for number in range(10):
            sent |= await send(fleet, f"/homed/{number}", "key-crew")
        others = await send(fleet, "/free/1", "key-office")
        if set(others.values()) != {200}:
            raise CannotRunError(f"free requests are not served: {others}")
        allowed = set(ROUTE_HOMES) & set(tenant_homes)
        outside = 0
        for target in targets:
            region = ZONES[target.zone]
            for _, _, headers, _ in target.runs:
                request_id = headers.get("x-request-id")
                if request_id in sent and region not in allowed:
                    record.add(
                        f"{request_id} ran in {region}; allowed: "
                        f"{sorted(allowed) or 'no region'}"
                    )
                    outside += 1
        record.add(f"{outside} of {len(sent)} requests ran outside homes")
        return outside > 0
    finally:
        for target in targets:
            await target.stop()
        fleet.stop()


run_case(pathlib.Path(__file__).resolve().parent, case)
