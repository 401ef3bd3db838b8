"""Model of the first start of a cluster.

Seeds propose and vote on the first replica set; responses are lost, seeds are
restarted with their disk, or without it and then without a vote. The votes and
the choice of a set are those of the product.
"""

import attrs

from ..agreement.first_set import choose_replicas
from ..agreement.first_set import decide_proposal
from ..agreement.first_set import next_ballot
from ..agreement.votes import quorum_size
from ..messages.records import BootstrapRequest
from ..messages.records import BootstrapResponse
from ..messages.records import BootstrapVote
from ..messages.records import Replica
from .search import explore

__all__ = ["explore_first_start"]


@attrs.frozen
class _Seed:
    """A seed; a proposal is in memory only.

    Attributes
    ----------
    vote : BootstrapVote
        Its synced vote.
    incarnation : int
        Number of its disk.
    may_vote : bool
        False once its disk was lost.
    rounds : int
        Proposals that it has begun.
    ballot : Ballot or None
        Ballot of its current proposal.
    promises : tuple of (int, BootstrapResponse)
        Promises for it, by seed.
    replicas : ReplicaSet or None
        Set that it proposes.
    accepted : frozenset of int
        Seeds that accepted that set.
    asked : frozenset of int
        Seeds that were asked in this phase.
    """

    vote: BootstrapVote = BootstrapVote()
    incarnation: int = 1
    may_vote: bool = True
    rounds: int = 0
    ballot: object = None
    promises: tuple = ()
    replicas: object = None
    accepted: frozenset = frozenset()
    asked: frozenset = frozenset()


@attrs.frozen
class _World:
    """State of the model.

    Attributes
    ----------
    seeds : tuple of _Seed
        The seeds.
    chosen : frozenset of ReplicaSet
        Sets that a proposer found chosen.
    losses : int
        Responses that may still be lost.
    restarts, disk_losses : int
        Restarts with and without the disk that may still happen.
    """

    seeds: tuple
    chosen: frozenset = frozenset()
    losses: int = 0
    restarts: int = 0
    disk_losses: int = 0


def explore_first_start(
    seeds=3,
    proposers=2,
    rounds=1,
    losses=1,
    restarts=1,
    disk_losses=1,
    limit_states=1_000_000,
    keeps_vote=True,
):
    """Explore the first start.

    Parameters
    ----------
    seeds, proposers : int
        Number of seeds, and of those that propose.
    rounds : int
        Proposals of each proposer.
    losses, restarts, disk_losses : int
        Responses that are lost, and restarts with and without the disk.
    limit_states : int
        Number of states after which the search ends incomplete.
    keeps_vote : bool
        False for a model of seeds that vote again after the loss of their
        disk, which is not safe.

    Returns
    -------
    Exploration
        A violation is a second first replica set.
    """
    needed = quorum_size(seeds)

    def list_steps(world):
        for number in range(proposers):
            yield from _list_proposer_steps(world, number, needed, rounds)
        for number in range(seeds):
            yield from _list_restarts(world, number, keeps_vote)

    def find_violation(world):
        return "two first replica sets" if len(world.chosen) > 1 else ""

    initial = _World(
        (_Seed(),) * seeds, frozenset(), losses, restarts, disk_losses
    )
    return explore(initial, list_steps, find_violation, limit_states)


def _list_proposer_steps(world, number, needed, rounds):
    proposer = world.seeds[number]
    if not proposer.may_vote:
        return
    if proposer.ballot is None:
        if proposer.rounds < rounds:
            votes = [seed.vote for seed in world.seeds]
            yield (
                f"seed {number} proposes",
                _replace(
                    world,
                    number,
                    rounds=proposer.rounds + 1,
                    ballot=next_ballot(votes, f"h:{number}"),
                ),
            )
        return
    granted = len(
        proposer.accepted if proposer.replicas else proposer.promises
    )
    if granted < needed:
        yield from _list_requests(world, number)
        yield f"seed {number} gives up", _forget_proposal(world, number)
    elif proposer.replicas is None:
        replicas = choose_replicas([item for _, item in proposer.promises])
        yield (
            f"seed {number} chooses a set",
            _replace(world, number, replicas=replicas, asked=frozenset()),
        )
    else:
        chosen = world.chosen | {proposer.replicas}
        yield (
            f"seed {number} finds its set chosen",
            attrs.evolve(_forget_proposal(world, number), chosen=chosen),
        )


def _list_requests(world, number):
    proposer = world.seeds[number]
    request = BootstrapRequest(
        ballot=proposer.ballot, replicas=proposer.replicas
    )
    phase = "accept" if proposer.replicas else "promise"
    # The order in which a proposer asks does not matter.
    other = len(proposer.asked)
    if other == len(world.seeds):
        return
    seed = world.seeds[other]
    asked = proposer.asked | {other}
    yield (
        f"seed {number} does not reach {other}",
        _replace(world, number, asked=asked),
    )
    if seed.may_vote:
        vote, granted = decide_proposal(seed.vote, request)
        name = f"seed {number} asks {other} to {phase}"
        voted = _replace(world, other, vote=vote)
        if world.losses:
            lost = _replace(voted, number, asked=asked)
            yield (
                f"{name}: no response",
                attrs.evolve(lost, losses=world.losses - 1),
            )
        changes = {"asked": asked}
        if granted and proposer.replicas is not None:
            changes["accepted"] = proposer.accepted | {other}
        elif granted:
            response = BootstrapResponse(
                True, vote, _make_replica(other, seed)
            )
            changes["promises"] = (*proposer.promises, (other, response))
        yield f"{name}: {granted}", _replace(voted, number, **changes)


def _list_restarts(world, number, keeps_vote):
    seed = world.seeds[number]
    if world.restarts and seed.ballot is not None:
        yield (
            f"seed {number} restarts",
            attrs.evolve(
                _forget_proposal(world, number), restarts=world.restarts - 1
            ),
        )
    if world.disk_losses and seed.may_vote:
        emptied = _Seed(
            incarnation=seed.incarnation + 1,
            may_vote=not keeps_vote,
            rounds=seed.rounds,
        )
        seeds = list(world.seeds)
        seeds[number] = emptied
        yield (
            f"seed {number} loses its disk",
            attrs.evolve(
                world,
                seeds=tuple(seeds),
                disk_losses=world.disk_losses - 1,
            ),
        )


def _make_replica(number, seed):
    return Replica(
        f"seed-{number}", f"h:{number}", str(seed.incarnation), voter=True
    )


def _forget_proposal(world, number):
    return _replace(
        world,
        number,
        ballot=None,
        promises=(),
        replicas=None,
        accepted=frozenset(),
        asked=frozenset(),
    )


def _replace(world, number, **changes):
    seeds = list(world.seeds)
    seeds[number] = attrs.evolve(seeds[number], **changes)
    return attrs.evolve(world, seeds=tuple(seeds))
