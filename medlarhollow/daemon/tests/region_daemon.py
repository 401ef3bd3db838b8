"""Daemon that takes the first part of a server's identifier as its region.

Run as ``python -m medlarhollow.daemon.tests.region_daemon SETTINGS``. The
announcements of the default front end name no region.
"""

import sys

import attrs

from medlarhollow.daemon import frontend
from medlarhollow.daemon.main import run_daemon
from medlarhollow.settings import load_settings


def make_listeners(vm, admin):
    announce = vm.directory.announce

    def announce_with_region(server, now, source=""):
        region = server.server_id.split("-")[0]
        announce(attrs.evolve(server, region=region), now, source)

    vm.directory.announce = announce_with_region
    return frontend.make_listeners(vm, admin)


if __name__ == "__main__":
    settings = load_settings(sys.argv[1])
    sys.exit(run_daemon(settings, frontend.Frontend(make_listeners)))
