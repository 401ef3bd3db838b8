"""Simulation of a version move, for tests."""

import random

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.control.moves import MoveController
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import MoveState
from medlarhollow.messages.records import PutService
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import StartMove
from medlarhollow.messages.records import VersionSample

NOW = 1000.0
TICK_S = 0.5


def draw_count(rng, requests, rate):
    """Return a binomially distributed count."""
    return sum(rng.random() < rate for _ in range(requests))


def sample(
    rng, version, requests, errors=0.0, slow=0.0, unanswered=0.0, **labels
):
    """Return a sample with random counts at the given rates."""
    return VersionSample(
        service="plots",
        version=version,
        route=labels.get("route", "/plots"),
        region=labels.get("region", "n"),
        requests=requests,
        errors=draw_count(rng, requests, errors),
        slow=draw_count(rng, requests, slow),
        unanswered=draw_count(rng, requests, unanswered),
    )


class MoveSimulation:
    """Simulate one move of a service to its end.

    Parameters
    ----------
    rate_per_s : float
        Requests of the service per second.
    seed : int
        Seed of the random counts.
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
        self.commit(PutService(Service("plots", bytes(32), "1")))
        self.commit(StartMove(Move(**{**values, **move})))
        self.controller = MoveController()
        self.fractions = [0.0]
        self.new_requests = 0
        self.ended_at = None

    @property
    def move(self):
        """Move : the current state of the move."""
        return self.state.moves["m1"]

    def commit(self, body):
        """Apply a change; planned changes must never be rejected."""
        result = apply(body, self.state, self.now)
        assert result.is_ok(), (body, result.err_value.detail)
        self.state.revision += 1

    def change_leader(self):
        """Continue with a leader that has only the replicated state."""
        self.controller = MoveController()

    def draw_samples(self, faults):
        """Return the samples of one tick.

        Parameters
        ----------
        faults : callable
            Returns the rates of bad outcomes of the new version, given the
            fraction and the seconds since the start.
        """
        requests = draw_count(self.rng, int(self.rate_per_s * TICK_S * 2), 0.5)
        new = draw_count(self.rng, requests, self.move.fraction)
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
            assert self.now <= self.move.deadline_s, (
                "the move missed its deadline"
            )
            samples = self.draw_samples(faults)
            if measured is not None and not measured(self.now - NOW):
                samples = []
            for body in self.controller.plan(self.state, samples, self.now):
                self.commit(body)
            if self.move.fraction != self.fractions[-1]:
                self.fractions.append(self.move.fraction)
        self.ended_at = self.now
        return self.move.state
