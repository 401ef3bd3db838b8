"""Depth-first search over the states of a model."""

import attrs

__all__ = ["Exploration", "explore"]


@attrs.frozen
class Exploration:
    """Result of a search.

    Attributes
    ----------
    states : int
        Number of different states that were visited.
    is_complete : bool
        Whether all reachable states were visited.
    violation : str
        The property that does not hold; empty if none was found.
    trace : tuple of str
        Steps from the initial state to the violation.
    """

    states: int
    is_complete: bool
    violation: str = ""
    trace: tuple = ()


def explore(initial, list_steps, find_violation, limit_states=1_000_000):
    """Visit all states that can be reached, until a property is violated.

    Parameters
    ----------
    initial : hashable
        First state.
    list_steps : callable
        Returns an iterable of (name, next state) of a state.
    find_violation : callable
        Returns a text for a state that violates a property, else an empty
        one.
    limit_states : int
        Number of states after which the search ends incomplete.

    Returns
    -------
    Exploration
        Ends at the first violation.

    Examples
    --------
    >>> steps = lambda state: [("add", state + 1)] if state < 3 else []
    >>> explore(0, steps, lambda state: "" if state < 3 else "three").trace
    ('add', 'add', 'add')
    """
    parents = {initial: None}
    pending = [initial]
    while pending:
        state = pending.pop()
        violation = find_violation(state)
        if violation:
            trace = _trace(parents, state)
            return Exploration(len(parents), False, violation, trace)
        for name, successor in list_steps(state):
            if successor not in parents:
                if len(parents) >= limit_states:
                    return Exploration(len(parents), False)
                parents[successor] = (name, state)
                pending.append(successor)
    return Exploration(len(parents), True)


def _trace(parents, state):
    names = []
    while parents[state] is not None:
        name, state = parents[state]
        names.append(name)
    return tuple(reversed(names))
