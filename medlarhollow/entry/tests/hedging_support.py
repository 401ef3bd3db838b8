"""Entry VM with second attempts, around the small fakes."""

import contextlib
import logging

from medlarhollow import clock
from medlarhollow.entry import Dialect
from medlarhollow.messages.records import BackendServer
from medlarhollow.steering import Assignment
from medlarhollow.steering.servers.answer_times import AnswerTimes

from .fakes import EntryHarness
from .fakes import FakeDispatcher

TYPICAL_S = 0.1
DIALECT = Dialect(
    server="x-server",
    not_run="x-not-run",
    seal="x-seal",
    leaving="x-leaving",
    pause="retry-after",
    echoes_request_id=True,
)
SEAL = "X-Seal: 1\r\n"


class HedgeDispatcher(FakeDispatcher):
    """Dispatcher whose second server can be full."""

    def __init__(self):
        super().__init__()
        self.answer_times = AnswerTimes()
        self.queued = 0
        self.is_full = False
        self.second_requests = []

    def record_runs(self, typical_s=TYPICAL_S, count=30):
        for prefix in ("/plots", "/open", "/orders", "/post"):
            for _ in range(count):
                self.answer_times.add(
                    "plots", prefix, True, typical_s, clock.monotonic()
                )

    def count_queued(self, service, version):
        return self.queued

    def try_acquire(self, slot_request, now):
        self.second_requests.append(slot_request)
        for address in self.servers:
            if address not in slot_request.excluded and not self.is_full:
                server = BackendServer(server_id=address, address=address)
                return Assignment(server, "1")
        return None


@contextlib.asynccontextmanager
async def run_hedging(*backends, samples=30, dialect=None, **options):
    """Run an entry VM whose usual answer takes `TYPICAL_S`."""
    entry = EntryHarness(
        **{"hedge_limit": 1.0, "retry_budget": 1.0, **options}
    )
    entry.dispatcher = HedgeDispatcher()
    entry.dispatcher.record_runs(count=samples)
    async with entry.run(*backends):
        entry.vm.dialect = dialect or entry.vm.dialect
        fill_budgets(entry)
        yield entry


def fill_budgets(entry):
    for _ in range(20):
        entry.vm.retry_budget.count_request("plots")
        entry.vm.hedging.count_request("plots")


def read_hedge_from(caplog):
    """Return a function that returns the log record of the only request."""
    caplog.set_level(logging.INFO, "medlarhollow.entry.request_log")

    def read():
        [record] = [
            record for record in caplog.records if hasattr(record, "attempts")
        ]
        return record

    return read
