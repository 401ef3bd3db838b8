"""Front doors of a process, which another front end may replace."""

import attrs

from ..admin import make_admin_app
from ..admin.operators import OperatorTokens
from ..entry import Dialect
from ..entry import make_announce_app
from ..entry import make_caller_app

__all__ = ["Door", "Frontend", "list_doors"]


@attrs.frozen
class Door:
    """An HTTP application and the address that it listens on.

    Attributes
    ----------
    app : callable
        ASGI application.
    address : str
        ``host:port`` to listen on.
    activity : str
        Activity to which the time of its requests is counted.
    """

    app: object
    address: str
    activity: str = "requests"


def list_doors(vm, admin):
    """Return the front doors of the project's own interface.

    Parameters
    ----------
    vm : EntryVm
        The parts of this process that serve callers.
    admin : FleetAdmin or None
        Serves operators; None without the role ``control``.

    Returns
    -------
    list of Door
        By the roles of the process.
    """
    own = vm.settings
    doors = []
    if "entry" in own.vm.roles:
        doors.append(Door(make_caller_app(vm), own.entry.listen))
    if {"entry", "registry"} & set(own.vm.roles):
        app = make_announce_app(vm)
        doors.append(Door(app, own.entry.announce_listen, "announcements"))
    if admin is not None:
        app = make_admin_app(admin, OperatorTokens(own))
        doors.append(Door(app, own.admin.listen, "admin"))
    return doors


@attrs.frozen
class Frontend:
    """What callers, backend servers and operators speak to.

    Attributes
    ----------
    list_doors : callable
        Returns the front doors, as :func:`list_doors` does.
    dialect : Dialect
        Names of the headers.
    """

    list_doors: object = list_doors
    dialect: Dialect = attrs.field(factory=Dialect)
