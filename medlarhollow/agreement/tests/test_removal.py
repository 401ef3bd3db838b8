"""Removal of replicas that no longer respond."""

import pytest

from medlarhollow.agreement.replica_set import plan_removal
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
