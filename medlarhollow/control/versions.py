"""Duty of the leader: name the version in force of a new service."""

from ..messages.records import SetServiceVersion

__all__ = ["plan_versions"]


def plan_versions(state, directory, now):
    """Return the versions that are to be named.

    Parameters
    ----------
    state : FleetState
        Holds the services.
    directory : Directory
        Holds the backend servers of the fleet.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of SetServiceVersion
        For each service without a version that has a backend server, the
        version that most of them run.
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
