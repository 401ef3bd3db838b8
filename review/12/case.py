"""Targets answer at once with a large body that consists of short lines."""

import asyncio
import pathlib
import time
import uuid

from fleet import CannotRunError
from fleet import Fleet
from fleet import make_document
from fleet import make_path
from fleet import make_tenant
from fleet import read_head
from fleet import run_case
from fleet import Target

ZONES = {
    "ishikari-a": "ishikari",
    "tokachi-a": "tokachi",
    "kushiro-a": "kushiro",
}
# The largest answer and the deadline of downloads on the pages' sites.
BODY_BYTES = 540_000
TIMEOUT_S = 3.0
DEADLINE_S = 3.626
ANSWER_WITHIN_S = 0.5
REQUESTS = 12


class TextTarget(Target):
    """Answer at once with lines of a given length."""

    line_bytes = 0

    async def answer(self, writer, line, headers, body):
        """Answer with the whole text in one piece."""
        request_id = headers.get("x-request-id", "")
        self.runs.append((time.monotonic(), line, headers, body))
        text = (b"x" * (self.line_bytes - 1) + b"\n") * (
            BODY_BYTES // self.line_bytes
        )
        began_at = time.monotonic()
        await self.write(writer, 200, request_id, text)
        self.fleet.record.add(
            f"target {self.id} answers {request_id}, {len(text)} bytes, in "
            f"{time.monotonic() - began_at:.3f} s"
        )


async def download(fleet, reader, writer):
    """Send one request; return the time until it ended, None if it did not.

    A connection that is closed ends it too: the rule is about requests that
    are left open.
    """
    request_id = uuid.uuid4().hex[:16]
    lines = [
        "GET /bundle/1 HTTP/1.1",
        "Host: desk.example",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}",
        "Authorization: Token key-crew",
    ]
    began_at = time.monotonic()
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    got = 0
    try:
        async with asyncio.timeout(DEADLINE_S):
            head = await read_head(reader)
            if head is None:
                raise ConnectionError
            length = int(head[1]["content-length"])
            while got < length:
                piece = await reader.read(65536)
                if not piece:
                    raise ConnectionError
                got += len(piece)
        took_s = time.monotonic() - began_at
        status = head[0].split()[1]
        fleet.record.add(
            f"client has the whole answer to {request_id}: {status}, {got} "
            f"bytes, {took_s:.3f} s"
        )
        return took_s
    except (ConnectionError, TimeoutError, KeyError) as error:
        took_s = time.monotonic() - began_at
        fleet.record.add(
            f"client gives up {request_id} after {took_s:.3f} s with {got} "
            f"bytes: {type(error).__name__}"
        )
        return None if isinstance(error, TimeoutError) else took_s


async def use_connection(fleet, vm):
    """Send one request on a new connection."""
    reader, writer = await asyncio.open_connection(vm.ip, fleet.ports["front"])
    try:
        return await download(fleet, reader, writer)
    finally:
        writer.close()


async def case(record, has_trouble):
    """Return whether answers are missing after the route's timeout."""
    fleet = Fleet(record, ZONES, targets=(1, 2, 3))
    targets = [
        TextTarget(fleet, number, "podstore", zone)
        for number, zone in enumerate(ZONES, 1)
    ]
    for target in targets:
        target.line_bytes = 40 if has_trouble else 1000
    try:
        fleet.start()
        document = make_document(
            "r2",
            ["podstore"],
            [make_tenant("crew", "key-crew")],
            [
                make_path(
                    "/bundle/",
                    "podstore",
                    kind="download",
                    timeout=f"{TIMEOUT_S * 1000:.0f}ms",
                )
            ],
        )
        if (await fleet.put(document, "0")).status != 200:
            raise CannotRunError("the configuration was refused")
        for target in targets:
            await target.start()
        await fleet.wait_ready()
        await asyncio.sleep(3.0)
        times = []
        for number in range(REQUESTS):
            vm = fleet.fronts[number % len(fleet.fronts)]
            times.append(await use_connection(fleet, vm))
        limit_s = TIMEOUT_S + ANSWER_WITHIN_S
        open_at_timeout = sum(t is None or t > TIMEOUT_S for t in times)
        missing = sum(t is None or t > limit_s for t in times)
        record.add(
            f"of {REQUESTS} requests {open_at_timeout} had no final answer "
            f"{TIMEOUT_S} s after they were sent, {missing} none after "
            f"{limit_s} s"
        )
        # Both rules: more than half of those that are still unanswered at
        # the timeout; eight or more, and over a quarter.
        return missing >= 8 and missing > open_at_timeout / 2
    finally:
        for target in targets:
            await target.stop()
        fleet.stop()


run_case(pathlib.Path(__file__).resolve().parent, case)
