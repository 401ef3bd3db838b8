"""Order of the answers on one connection."""

import collections

__all__ = ["Turn", "Turns"]


class Turn:
    """Transport of one answer, which holds it back until its turn.

    Parameters
    ----------
    turns : Turns
        Of the connection.
    cycle : uvicorn.protocols.http.httptools_impl.RequestResponseCycle
        Writes the answer.
    """

    def __init__(self, turns, cycle):
        self._turns = turns
        self._held = []
        self._closes = False
        self.cycle = cycle
        self.is_started = False
        self.is_done = False

    def write(self, data):
        """Write a part of the answer, now or at its turn."""
        if self._turns.is_first(self):
            self._turns.transport.write(data)
        else:
            self._held.append(data)

    def close(self):
        """Close the connection after this answer."""
        if self._turns.is_first(self):
            self._turns.transport.close()
        else:
            self._closes = True

    def is_closing(self):
        """Return whether the connection is closed or closing."""
        return self._turns.transport.is_closing()

    def begin(self):
        """Write what was held back; the turn has come."""
        if self._held:
            self._turns.transport.write(b"".join(self._held))
            self._held.clear()
        if self._closes:
            self._turns.transport.close()


class Turns:
    """Requests of one connection that are not answered yet, in order.

    Parameters
    ----------
    transport : asyncio.Transport
        The connection.
    """

    def __init__(self, transport):
        self.transport = transport
        self._waiting = collections.deque()

    def __len__(self):
        return len(self._waiting)

    def __iter__(self):
        return iter(self._waiting)

    @property
    def last(self):
        """Turn : the request that came last."""
        return self._waiting[-1]

    def add(self, cycle):
        """Append a request and return its turn."""
        turn = Turn(self, cycle)
        self._waiting.append(turn)
        return turn

    def is_first(self, turn):
        """Return whether an answer may be written now."""
        return bool(self._waiting) and self._waiting[0] is turn

    def finish(self, turn):
        """Note that an answer is complete, and let those behind it follow."""
        turn.is_done = True
        while self._waiting and self._waiting[0].is_done:
            self._waiting.popleft()
            if self._waiting:
                self._waiting[0].begin()
