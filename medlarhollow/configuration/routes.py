"""Match requests to routes and choose their destinations."""

__all__ = ["choose_destination", "match_route"]


def match_route(state, host, path):
    """Return the route with the longest path prefix.

    Parameters
    ----------
    state : FleetState
        Contains the routes.
    host : str
        Host header, with or without a port.
    path : str
        Path of the request.

    Returns
    -------
    Route or None
        Routes of the host take precedence over routes of all hosts.

    Notes
    -----
    Prefixes match whole path segments: ``/plots`` matches ``/plots`` and
    ``/plots/7`` but not ``/plotsmith``.
    """
    host_name = host.rsplit(":", 1)[0].lower()
    for route_host in (host_name, ""):
        for prefix in _path_prefixes(path):
            route = state.routes.get((route_host, prefix))
            if route is not None:
                return route
    return None


def choose_destination(route, point):
    """Choose the destination service of a request on a split route.

    Parameters
    ----------
    route : Route
        Has a non-empty `split` whose weights have a positive sum.
    point : float
        Position of the request in the range [0, 1).

    Returns
    -------
    str
        Name of the service.
    """
    remaining = point * sum(destination.weight for destination in route.split)
    for destination in route.split:
        if remaining < destination.weight:
            return destination.service
        remaining -= destination.weight
    # Reached by rounding only; use the last destination with a weight.
    return [
        destination.service
        for destination in route.split
        if destination.weight
    ][-1]


def _path_prefixes(path):
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end > 0:
            yield path[:end]
