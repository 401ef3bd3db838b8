"""A service whose traffic is divided over two versions, for tests."""

import random

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.control.moves import MoveDuty
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import MoveState
from medlarhollow.messages.records import PutService
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import StartMove
from medlarhollow.messages.records import VersionSample

NOW = 1000.0
TICK_S = 0.5


def count(rng, requests, rate):
    """Return how many of some requests go wrong."""
    return sum(rng.random() < rate for _ in range(requests))


def sample(rng, version, requests, errors=0.0, slow=0.0, unanswered=0.0, **at):
    """Return a sample with random counts at the given rates."""
    return VersionSample(
        service="plots",
        version=version,
        route=at.get("route", "/plots"),
        region=at.get("region", "n"),
        requests=requests,
        errors=count(rng, requests, errors),
        slow=count(rng, requests, slow),
        unanswered=count(rng, requests, unanswered),
    )


class World:
    """Run one move to its end.

    Parameters
    ----------
    rate_per_s : float
        Requests of the service in a second.
    seed : int
        Of the random counts.
    **move
        Attributes of the move.
    """

    def __init__(self, rate_per_s=40.0, seed=1, **move):
        self.rng = random.Random(seed)
        self.rate_per_s = rate_per_s
        self.now = NOW
        self.state = FleetState(cluster="test")
        values = {
            "move_id": "m1",
            "service": "plots",
            "to_version": "2",
            "cap": 0.25,
            "step_s": 10.0,
            "deadline_s": NOW + 120,
        }
        self.accept(PutService(Service("plots", bytes(32), "1")))
        self.accept(StartMove(Move(**{**values, **move})))
        self.duty = MoveDuty()
        self.fractions = [0.0]
        self.new_requests = 0
        self.ended_at = None

    @property
    def move(self):
        """Move : the move as it is now."""
        return self.state.moves["m1"]

    def accept(self, body):
        """Apply a change; the plan must never make one that is rejected."""
        result = apply(body, self.state, self.now)
        assert result.is_ok(), (body, result.err_value.detail)
        self.state.revision += 1

    def change_leader(self):
        """Go on with a leader that knows the agreed state only."""
        self.duty = MoveDuty()

    def measure(self, faults):
        """Return the samples of one tick.

        Parameters
        ----------
        faults : callable
            Returns the rates of bad answers of the new version, given the
            fraction and the seconds since the start.
        """
        requests = count(self.rng, int(self.rate_per_s * TICK_S * 2), 0.5)
        new = count(self.rng, requests, self.move.fraction)
        self.new_requests += new
        rates = faults(self.move.fraction, self.now - NOW)
        return [
            sample(self.rng, "1", requests - new, errors=0.01),
            sample(self.rng, "2", new, **{"errors": 0.01, **rates}),
        ]

    def run(self, faults=lambda fraction, after_s: {}, measured=None):
        """Run until the move has ended or its deadline has passed."""
        while self.move.state is MoveState.IN_PROGRESS:
            self.now += TICK_S
            assert self.now <= self.move.deadline_s, "the move is late"
            samples = self.measure(faults)
            if measured is not None and not measured(self.now - NOW):
                samples = []
            for body in self.duty.plan(self.state, samples, self.now):
                self.accept(body)
            if self.move.fraction != self.fractions[-1]:
                self.fractions.append(self.move.fraction)
        self.ended_at = self.now
        return self.move.state
