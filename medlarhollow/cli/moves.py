"""Commands for version moves."""

import asyncio
import datetime
import re
import time
from urllib.parse import quote

from cleo.helpers import argument
from cleo.helpers import option

from .codes import ExitCode
from .command import COMMON_OPTIONS
from .command import FleetCommand
from .command import UsageError
from .output import show_table
from .tables import CHANGE

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
        If not exactly one of them is given or it is wrong.

    Examples
    --------
    >>> read_deadline("2m", None, 1000.0)
    1120.0
    """
    if bool(within) == bool(by):
        raise UsageError("one of --within and --by is needed")
    if within:
        match = re.fullmatch(r"(\d+(?:\.\d+)?)([smh])", within)
        if match is None:
            raise UsageError(f"--within '{within}': such as 90s, 30m or 2h")
        return now + float(match[1]) * _UNITS_S[match[2]]
    try:
        moment = datetime.datetime.fromisoformat(by)
    except ValueError as error:
        raise UsageError(f"--by '{by}': {error}") from error
    if moment.tzinfo is None:
        raise UsageError(f"--by '{by}': the offset from UTC is needed")
    return moment.timestamp()


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
        option("move-id", None, "Name of the move.", flag=False, default=""),
        option(
            "cap", None, "Largest step, 0 to 1.", flag=False, default="0.25"
        ),
        option("step-s", None, "Seconds of a step.", flag=False, default="30"),
        *CHANGE,
    ]

    async def serve(self, client):
        """Send the order."""
        body = {
            "service": self.argument("service"),
            "to_version": self.argument("to-version"),
            "move_id": self.option("move-id"),
            "cap": self.number("cap"),
            "step_s": self.number("step-s"),
            "deadline_s": read_deadline(
                self.option("within"), self.option("by"), time.time()
            ),
        }
        return await self.change(client, "POST", "/v1/moves", body)


class MoveList(FleetCommand):
    """List moves."""

    name = "move list"
    description = "List the moves."

    async def serve(self, client):
        """Read the moves."""
        return await client.read("/v1/moves")

    def show(self, data):
        """Return the moves as a table."""
        return show_table(data["moves"])


class MoveShow(FleetCommand):
    """Show a move."""

    name = "move show"
    description = "Show a move."
    arguments = [argument("move", "Name of the move.")]

    async def serve(self, client):
        """Read the move."""
        move = quote(self.argument("move"), safe="")
        return await client.read(f"/v1/moves/{move}")

    def code_of(self, data):
        """Tell a move that was rolled back from others."""
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

    async def serve(self, client):
        """Read the move until it has ended."""
        interval_s = max(self.number("interval"), 0.05)
        fraction = None
        while True:
            result = await super().serve(client)
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
    arguments = [argument("move", "Name of the move.")]
    options = [
        option(
            "reason",
            None,
            "Why, for the record.",
            flag=False,
            default="ordered by an operator",
        ),
        *CHANGE,
    ]

    async def serve(self, client):
        """Send the order."""
        move = quote(self.argument("move"), safe="")
        body = {"reason": self.option("reason")}
        path = f"/v1/moves/{move}/roll-back"
        return await self.change(client, "POST", path, body)


COMMANDS = (MoveStart, MoveList, MoveShow, MoveWatch, MoveRollBack)
