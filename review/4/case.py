"""Let one server spoil one answer with interim heads that never end."""

import asyncio

import fleet as standins

# `timeout` of the site's route for look-ups, and the bound after it.
TIMEOUT_S = 1.2
ANSWER_BOUND_S = 0.5
# Requests without an answer, and their share, that break the rule.
UNANSWERED = 8
UNANSWERED_SHARE = 0.25
INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\n\r\n"
HEADS_PER_WRITE = 2000


class FaultyTarget(standins.Target):
    """A server that spoils one answer once it is told to."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.must_spoil = False

    async def _answer(self, reader, writer, method, path, headers):
        if not self.must_spoil or path == "/health":
            await super()._answer(reader, writer, method, path, headers)
            return
        self.must_spoil = False
        record = self.fleet.record
        record.say(f"server {self.server_id} spoils one answer")
        sent_bytes = 0
        try:
            while True:
                writer.write(INTERIM_HEAD * HEADS_PER_WRITE)
                await writer.drain()
                sent_bytes += HEADS_PER_WRITE * len(INTERIM_HEAD)
        except OSError:
            record.say(f"caller closed after about {sent_bytes} bytes")


async def case(record, fleet, session, has_trouble):
    """Return whether requests are answered at their route's timeout."""
    standins.Target = FaultyTarget
    zones = ["ishikari-a", "tokachi-a", "kushiro-a"] * 2
    parts = await standins.bring_up(
        fleet, session, zones, 30, safe_timeout="1200ms"
    )
    if parts is None:
        return None
    _, targets, clients = parts
    await asyncio.sleep(3.0)
    judged_from = standins.now()
    targets[0].must_spoil = has_trouble
    await asyncio.sleep(20.0)
    judged_until = standins.now()
    await clients.stop()
    standins.summarise(record, clients)
    lasted = [
        lasted_s
        for sent_at, lasted_s in clients.durations
        if judged_from <= sent_at < judged_until and lasted_s > TIMEOUT_S
    ]
    late = [
        lasted_s
        for lasted_s in lasted
        if lasted_s > TIMEOUT_S + ANSWER_BOUND_S
    ]
    record.say(
        f"{len(lasted)} requests lasted longer than {TIMEOUT_S} s; "
        f"{len(late)} had no answer {ANSWER_BOUND_S} s after that"
    )
    if fleet.find_ended():
        record.say(f"ended by themselves: {fleet.find_ended()}")
    return len(late) < UNANSWERED or len(late) <= UNANSWERED_SHARE * len(
        lasted
    )


if __name__ == "__main__":
    standins.main(case)
