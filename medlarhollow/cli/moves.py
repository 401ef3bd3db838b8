"""Commands for version moves."""

import asyncio
import datetime
import re
import time
from urllib.parse import quote

from cleo.helpers import argument
from cleo.helpers import option

from .base_commands import CHANGE_COMMAND_OPTIONS
from .codes import ExitCode
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .command import UsageError
from .output import format_table

__all__ = ["COMMANDS", "read_deadline"]

_UNITS_S = {"s": 1, "m": 60, "h": 3600}


def read_deadline(within, by, now):
    """Return a deadline from the command line.

    Parameters
    ----------
    within : str or None
        Time from now, such as ``90s``, ``30m`` or ``2h``.
    by : str or None
        Date and time by ISO 8601, with its offset from UTC.
    now : float
        Unix time in seconds.

    Returns
    -------
    float
        Unix time in seconds.

    Raises
    ------
    UsageError
        If not exactly one of them is given or it is invalid.

    Examples
    --------
    >>> read_deadline("2m", None, 1000.0)
    1120.0
    """
    if bool(within) == bool(by):
        raise UsageError("exactly one of --within and --by is required")
    if within:
        match = re.fullmatch(r"(\d+(?:\.\d+)?)([smh])", within)
        if match is None:
            raise UsageError(
                f"--within '{within}': must be a time such as 90s, 30m or 2h"
            )
        return now + float(match[1]) * _UNITS_S[match[2]]
    try:
        deadline = datetime.datetime.fromisoformat(by)
    except ValueError as error:
        raise UsageError(f"--by '{by}': {error}") from error
    if deadline.tzinfo is None:
        raise UsageError(f"--by '{by}': the offset from UTC is missing")
    return deadline.timestamp()


class MoveStart(FleetCommand):
    """Start a move."""

    name = "move start"
    description = "Move a service to another version by a deadline."
    arguments = [
        argument("service", "Service."),
        argument("to-version", "Version that takes over."),
    ]
    options = [
        option("within", None, "Deadline from now, such as 30m.", flag=False),
        option("by", None, "Deadline as date and time.", flag=False),
        option(
            "move-id", None, "Identifier of the move.", flag=False, default=""
        ),
        option(
            "cap",
            None,
            "Largest fraction of traffic per step, 0 to 1.",
            flag=False,
            default="0.25",
        ),
        option(
            "step-s",
            None,
            "Duration of a step in seconds.",
            flag=False,
            default="30",
        ),
        *CHANGE_COMMAND_OPTIONS,
    ]

    async def send_request(self, client):
        """Send the request."""
        body = {
            "service": self.argument("service"),
            "to_version": self.argument("to-version"),
            "move_id": self.option("move-id"),
            "cap": self.parse_number("cap"),
            "step_s": self.parse_number("step-s"),
            "deadline_s": read_deadline(
                self.option("within"), self.option("by"), time.time()
            ),
        }
        return await self.change(client, "POST", "/v1/moves", body)


class MoveList(FleetCommand):
    """List moves."""

    name = "move list"
    description = "List the moves."

    async def send_request(self, client):
        """Read the moves."""
        return await client.read("/v1/moves")

    def format_data(self, data):
        """Return the moves as a table."""
        return format_table(data["moves"])


class MoveShow(FleetCommand):
    """Show a move."""

    name = "move show"
    description = "Show a move."
    arguments = [argument("move", "Identifier of the move.")]

    async def send_request(self, client):
        """Read the move."""
        move = quote(self.argument("move"), safe="")
        return await client.read(f"/v1/moves/{move}")

    def exit_code(self, data):
        """Return ``ROLLED_BACK`` for a move that was rolled back."""
        if data["state"] == "rolled_back":
            return ExitCode.ROLLED_BACK
        return ExitCode.DONE


class MoveWatch(MoveShow):
    """Follow a move to its end."""

    name = "move watch"
    description = "Show each step of a move until it ends."
    options = [
        option(
            "interval", None, "Seconds between reads.", flag=False, default="1"
        ),
        *COMMON_OPTIONS,
    ]

    async def send_request(self, client):
        """Poll the move until it has ended."""
        interval_s = max(self.parse_number("interval"), 0.05)
        fraction = None
        while True:
            result = await super().send_request(client)
            if result.is_err():
                return result
            move = result.ok_value
            if move["state"] != "in_progress":
                return result
            if move["fraction"] != fraction and not self.option("json"):
                fraction = move["fraction"]
                left_s = move["deadline_s"] - time.time()
                self.line(f"{fraction:.1%} moved, {left_s:.0f} s left")
            await asyncio.sleep(interval_s)


class MoveRollBack(FleetCommand):
    """Roll a move back."""

    name = "move roll-back"
    description = "Roll a move back."
    arguments = [argument("move", "Identifier of the move.")]
    options = [
        option(
            "reason",
            None,
            "Reason to record with the move.",
            flag=False,
            default="ordered by an operator",
        ),
        *CHANGE_COMMAND_OPTIONS,
    ]

    async def send_request(self, client):
        """Send the request."""
        move = quote(self.argument("move"), safe="")
        body = {"reason": self.option("reason")}
        path = f"/v1/moves/{move}/roll-back"
        return await self.change(client, "POST", path, body)


COMMANDS = (MoveStart, MoveList, MoveShow, MoveWatch, MoveRollBack)
