"""Leader task that sets the initial version of a new service."""

from ..messages.records import SetServiceVersion

__all__ = ["plan_versions"]


def plan_versions(state, directory, now):
    """Plan the initial versions of services that have none.

    Parameters
    ----------
    state : FleetState
        Provides the services.
    directory : Directory
        Provides the backend servers of the fleet.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of SetServiceVersion
        One for each service that has backend servers but no version. It sets
        the version that most of these servers run.
    """
    changes = []
    for service in state.services.values():
        if service.version:
            continue
        counts = directory.count_versions(service.name, now)
        if counts:
            version = max(sorted(counts), key=counts.get)
            changes.append(SetServiceVersion(service.name, version))
    return changes
