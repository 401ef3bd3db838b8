"""Entry point of the operator tool."""

from cleo.application import Application
from cleo.commands.completions_command import CompletionsCommand

from .configuration import COMMANDS as CONFIGURATION_COMMANDS
from .fleet import COMMANDS as FLEET_COMMANDS
from .moves import COMMANDS as MOVE_COMMANDS
from .records import COMMANDS as RECORD_COMMANDS
from .steering import COMMANDS as STEERING_COMMANDS

__all__ = ["main", "make_application"]


def make_application():
    """Return the application with all its commands.

    Returns
    -------
    cleo.application.Application
        It also has ``completions``, which prints shell completion.
    """
    application = Application("medlarhollow")
    application.auto_exits(False)
    groups = (
        RECORD_COMMANDS,
        STEERING_COMMANDS,
        MOVE_COMMANDS,
        FLEET_COMMANDS,
        CONFIGURATION_COMMANDS,
    )
    for commands in groups:
        for command in commands:
            application.add(command())
    application.add(CompletionsCommand())
    return application


def main():
    """Run the command line of the process.

    Returns
    -------
    int
        Exit code, see :mod:`medlarhollow.cli.codes`.
    """
    return make_application().run()
