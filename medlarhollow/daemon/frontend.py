"""HTTP interface of a process, which another front end may replace."""

import attrs

from ..admin import make_admin_app
from ..admin.operators import OperatorTokens
from ..entry import Dialect
from ..entry import make_announce_app
from ..entry import make_caller_app

__all__ = ["Frontend", "Listener", "make_listeners"]


@attrs.frozen
class Listener:
    """An HTTP application and the address that it listens on.

    Attributes
    ----------
    app : callable
        ASGI application.
    address : str
        ``host:port`` to listen on.
    activity : str
        Activity under which the time of its requests is counted.
    """

    app: object
    address: str
    activity: str = "requests"


def make_listeners(vm, admin):
    """Return the listeners of the default HTTP interface.

    Parameters
    ----------
    vm : EntryVm
        The components of this process that serve callers.
    admin : FleetAdmin or None
        Serves operators; None without the ``control`` role.

    Returns
    -------
    list of Listener
        Those of the roles of the process.
    """
    settings = vm.settings
    listeners = []
    if "entry" in settings.vm.roles:
        listeners.append(Listener(make_caller_app(vm), settings.entry.listen))
    if {"entry", "registry"} & set(settings.vm.roles):
        app = make_announce_app(vm)
        listeners.append(
            Listener(app, settings.entry.announce_listen, "announcements")
        )
    if admin is not None:
        app = make_admin_app(admin, OperatorTokens(settings))
        listeners.append(Listener(app, settings.admin.listen, "admin"))
    return listeners


def _make_no_client(settings):
    return None


@attrs.frozen
class Frontend:
    """HTTP interface for callers, backend servers and operators.

    Attributes
    ----------
    make_listeners : callable
        Returns the listeners, like :func:`make_listeners`.
    dialect : Dialect
        Names of the headers.
    usage_client : callable
        Returns, from the settings, a client with ``async send(holder, token,
        window, counts) -> UsageResponse`` for the receiver of usage reports;
        None if this front end has none.
    """

    make_listeners: object = make_listeners
    dialect: Dialect = attrs.field(factory=Dialect)
    usage_client: object = _make_no_client
