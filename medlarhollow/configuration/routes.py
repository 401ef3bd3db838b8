"""Find the route of a request."""

__all__ = ["choose_destination", "match_route"]


def match_route(state, host, path):
    """Return the route with the longest path prefix.

    Parameters
    ----------
    state : FleetState
        Holds the routes.
    host : str
        Host header, with or without a port.
    path : str
        Path of the request.

    Returns
    -------
    Route or None
        A route of that host goes before one of every host.

    Notes
    -----
    A prefix ends at a segment: ``/plots`` matches ``/plots`` and
    ``/plots/7`` but not ``/plotsmith``.
    """
    name = host.rsplit(":", 1)[0].lower()
    for wanted in (name, ""):
        for prefix in _prefixes(path):
            route = state.routes.get((wanted, prefix))
            if route is not None:
                return route
    return None


def choose_destination(route, point):
    """Return the service that gets a request of a divided route.

    Parameters
    ----------
    route : Route
        Its `split` is not empty and has some weight.
    point : float
        Position of the request in 0 to 1.

    Returns
    -------
    str
        Name of the service.
    """
    left = point * sum(part.weight for part in route.split)
    for part in route.split:
        if left < part.weight:
            return part.service
        left -= part.weight
    # Rounding: the last part that gets requests.
    return [part.service for part in route.split if part.weight][-1]


def _prefixes(path):
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end > 0:
            yield path[:end]
