"""Removal of replicas that no longer respond."""

import pytest

from medlarhollow.agreement.replica_set import plan_removal
from medlarhollow.agreement.replica_set import plan_succession
from medlarhollow.messages.records import Replica
from medlarhollow.messages.records import ReplicaSet


def make_set(voters, others=""):
    return ReplicaSet(
        replicas=tuple(
            Replica(name, name, name, voter=name in voters)
            for name in voters + others
        )
    )


@pytest.mark.parametrize(
    ("voters", "others", "silent", "remaining"),
    [
        ("abcd", "", "", None),
        ("abcd", "", "b", "acd"),
        ("abcd", "e", "be", "abcd"),
        ("abc", "", "b", None),
        ("abc", "d", "d", "abc"),
        ("abcd", "", "bc", None),
        ("abcdef", "", "bc", "acdef"),
        ("abcdef", "", "bcd", None),
    ],
)
def test_removal(voters, others, silent, remaining):
    silent_s = dict.fromkeys(voters + others, 0.1)
    silent_s.update(dict.fromkeys(silent, 9.0))
    planned = plan_removal(make_set(voters, others), silent_s, 5.0)
    names = planned and "".join(replica.name for replica in planned.replicas)
    assert names == remaining


def make_members(text):
    """Return a set from names, with ``+`` for a voter, ``!`` a successor.

    The first letter of a name is its data centre.
    """
    return ReplicaSet(
        tuple(
            Replica(
                item.strip("+!"),
                item,
                item,
                voter="+" in item,
                data_centre=item[0],
                successor="!" in item,
            )
            for item in text.split()
        )
    )


@pytest.mark.parametrize(
    ("members", "silent", "behind", "expected"),
    [
        # A replica that is only cut off or suspended keeps its place.
        ("a+ b+ c+", "c", "", None),
        ("a+ b+ c+ c1+", "c", "", None),
        ("a+ b+ c+ b1+!", "c", "", None),
        # Before its successor has a vote, and after.
        ("a+ b+ c+ c1!", "c", "", "a+ b+ c1"),
        ("a+ b+ c+ c1+!", "c", "", "a+ b+ c1+"),
        ("a+ b+ c+ c1!", "c", "c1", None),
        ("a+ b+ c+ c1!", "c c1", "", None),
        # One successor replaces one replica.
        ("a+ a1+ b+ c+ a2+!", "a a1", "", "a1+ a2+ b+ c+"),
        # The successor of a successor inherits what that one had to replace.
        ("a+ b+ c+ c1+! c2!", "c c1", "", "a+ b+ c+ c2!"),
        ("a+ b+ c+ d+ d1! d2!", "d d1", "", "a+ b+ c+ d+ d2!"),
        ("a+ b+ c+ d1! d2!", "d1", "", "a+ b+ c+ d2!"),
        # Never without a majority that responds.
        ("a+ b+ c+ d+ d1!", "b c d", "", None),
        ("a+ b+ c+ d+ d1!", "c d", "", "a+ b+ c+ d1"),
        ("a+ b+ c+ d+ e+ f+ e1! f1!", "e f", "", "a+ b+ c+ d+ e1 f+ f1!"),
    ],
)
def test_succession(members, silent, behind, expected):
    """Guards against a vote that outlives its replacement, and against the
    removal of a replica that was not replaced."""
    replicas = make_members(members)
    names = {replica.name for replica in replicas.replicas}
    silent_s = dict.fromkeys(names, 0.1)
    silent_s.update(dict.fromkeys(silent.split(), 9.0))
    caught_up = frozenset(names - set(behind.split()))
    planned = plan_succession(replicas, silent_s, caught_up, 5.0)
    described = planned and " ".join(
        replica.name + "+" * replica.voter + "!" * replica.successor
        for replica in planned.replicas
    )
    assert described == expected
