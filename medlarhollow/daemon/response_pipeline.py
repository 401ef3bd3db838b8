"""Pipelined responses of one connection, kept in request order."""

import collections

__all__ = ["PipelinedResponse", "ResponsePipeline"]


class PipelinedResponse:
    """Transport of one response; buffers it until it is first in line.

    Parameters
    ----------
    pipeline : ResponsePipeline
        Pipeline of the connection.
    cycle : uvicorn.protocols.http.httptools_impl.RequestResponseCycle
        Writes the response.
    """

    def __init__(self, pipeline, cycle):
        self._pipeline = pipeline
        self._buffer = []
        self._must_close = False
        self.cycle = cycle
        self.is_started = False
        self.is_done = False

    def write(self, data):
        """Write data, or buffer it while earlier responses are pending."""
        if self._pipeline.is_first(self):
            self._pipeline.transport.write(data)
        else:
            self._buffer.append(data)

    def close(self):
        """Close the connection after this response."""
        if self._pipeline.is_first(self):
            self._pipeline.transport.close()
        else:
            self._must_close = True

    def is_closing(self):
        """Return whether the connection is closed or closing."""
        return self._pipeline.transport.is_closing()

    def flush(self):
        """Write the buffered data after the response has become first."""
        if self._buffer:
            self._pipeline.transport.write(b"".join(self._buffer))
            self._buffer.clear()
        if self._must_close:
            self._pipeline.transport.close()


class ResponsePipeline:
    """Pending responses of one connection, in the order of the requests.

    Parameters
    ----------
    transport : asyncio.Transport
        The connection.
    """

    def __init__(self, transport):
        self.transport = transport
        self._pending = collections.deque()

    def __len__(self):
        return len(self._pending)

    def __iter__(self):
        return iter(self._pending)

    @property
    def last(self):
        """PipelinedResponse : response to the most recent request."""
        return self._pending[-1]

    def add(self, cycle):
        """Append the response of a new request and return it."""
        response = PipelinedResponse(self, cycle)
        self._pending.append(response)
        return response

    def is_first(self, response):
        """Return whether a response may be written now."""
        return bool(self._pending) and self._pending[0] is response

    def finish(self, response):
        """Mark a response as complete and flush those that follow it."""
        response.is_done = True
        while self._pending and self._pending[0].is_done:
            self._pending.popleft()
            if self._pending:
                self._pending[0].flush()
