"""Client of the administration API."""

import asyncio
import time
import uuid

import aiohttp
from result import Err
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import Failure

__all__ = ["AdminClient", "get_json"]

# A replica looks for agreement for 5 s before it answers.
_TRY_TIMEOUT_S = 6.0
_PAUSE_S = 0.2
_KINDS = {kind.name.lower(): kind for kind in ErrorKind}
# Answers after which another replica, or the same one later, may do better.
_RETRIED = {
    ErrorKind.NOT_LEADER,
    ErrorKind.NO_QUORUM,
    ErrorKind.OVERLOADED,
    ErrorKind.DRAINING,
}


class AdminClient:
    """Send orders to whichever control replica takes them.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    addresses : tuple of str
        ``host:port`` of the replicas for operators, or URLs.
    token : str
        Token of the operator.
    timeout_s : float
        Limit for one order with all its tries, in seconds.
    """

    def __init__(self, session, addresses, token, timeout_s):
        self._session = session
        self._addresses = tuple(addresses)
        self._token = token
        self._timeout_s = timeout_s

    async def read(self, path, query=None):
        """Read from the first replica that answers.

        Parameters
        ----------
        path : str
            Path of the API.
        query : dict or None
            Query parameters as text.

        Returns
        -------
        result.Result
            ``Ok`` with JSON data or a failure.
        """
        return await self._send("GET", path, query, None, {})

    async def read_all(self, path):
        """Read from every replica once.

        Returns
        -------
        list of result.Result
            In the order of the addresses.
        """
        deadline_at = time.monotonic() + self._timeout_s
        tries = (
            self._try(address, "GET", path, None, None, {}, deadline_at)
            for address in self._addresses
        )
        return await asyncio.gather(*tries)

    async def change(
        self,
        method,
        path,
        body=None,
        query=None,
        request_id=None,
        base_revision=0,
    ):
        """Send a change, again under the same identifier if need be.

        Parameters
        ----------
        method, path : str
            HTTP method and path of the API.
        body : dict or None
            JSON data.
        query : dict or None
            Query parameters as text.
        request_id : str or None
            Identifier of the order; None for a new one.
        base_revision : int
            Operator revision that the order is based on; 0 for no check.

        Returns
        -------
        result.Result
            ``Ok`` with JSON data or a failure; ``OUTCOME_UNKNOWN`` if the
            change may or may not have been accepted.
        """
        headers = {
            "x-request-id": request_id or uuid.uuid4().hex,
            "x-base-revision": str(base_revision),
        }
        return await self._send(method, path, query, body, headers)

    async def _send(self, method, path, query, body, headers):
        deadline_at = time.monotonic() + self._timeout_s
        unknown = False
        while True:
            for address in self._addresses:
                result = await self._try(
                    address, method, path, query, body, headers, deadline_at
                )
                if result.is_ok():
                    return result
                kind = result.err_value.kind
                unknown = unknown or kind in (
                    ErrorKind.OUTCOME_UNKNOWN,
                    ErrorKind.NO_QUORUM,
                )
                if kind not in _RETRIED and kind is not (
                    ErrorKind.OUTCOME_UNKNOWN
                ):
                    return result
            if time.monotonic() + _PAUSE_S >= deadline_at:
                break
            await asyncio.sleep(_PAUSE_S)
        if method == "GET" or not unknown:
            return _unavailable(result.err_value)
        return fail(
            ErrorKind.OUTCOME_UNKNOWN,
            "the change may or may not have been accepted; send it again "
            f"under the request id {headers['x-request-id']} "
            f"({result.err_value.detail})",
        )

    async def _try(
        self, address, method, path, query, body, headers, deadline_at
    ):
        left_s = max(deadline_at - time.monotonic(), 0.05)
        url = address if "://" in address else f"http://{address}"
        try:
            async with self._session.request(
                method,
                f"{url}{path}",
                params=query,
                json=body,
                headers={**headers, "authorization": f"Bearer {self._token}"},
                timeout=aiohttp.ClientTimeout(min(left_s, _TRY_TIMEOUT_S)),
            ) as answer:
                return await _read_answer(address, answer)
        except aiohttp.ClientConnectorError as error:
            return fail(ErrorKind.NOT_LEADER, str(error))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            text = str(error) or type(error).__name__
            return fail(ErrorKind.OUTCOME_UNKNOWN, f"{address}: {text}")


async def get_json(session, address, path, query, timeout_s):
    """Read JSON from an address without a token, in one try.

    Returns
    -------
    result.Result
        ``Ok`` with JSON data or a failure.
    """
    url = address if "://" in address else f"http://{address}"
    try:
        async with session.get(
            f"{url}{path}",
            params=query,
            timeout=aiohttp.ClientTimeout(timeout_s),
        ) as answer:
            return await _read_answer(address, answer)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        text = str(error) or type(error).__name__
        return fail(ErrorKind.NO_QUORUM, f"{address}: {text}")


def _unavailable(failure):
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return fail(ErrorKind.NO_QUORUM, failure.detail)
    return Err(failure)


async def _read_answer(address, answer):
    data = await answer.json(content_type=None)
    if not isinstance(data, dict):
        return fail(
            ErrorKind.OUTCOME_UNKNOWN, f"{address}: not an answer of the API"
        )
    if answer.status == 200:
        return Ok(data)
    kind = _KINDS.get(data.get("error"), ErrorKind.OUTCOME_UNKNOWN)
    return Err(
        Failure(
            kind=kind,
            detail=str(data.get("detail", f"status {answer.status}")),
            revision=int(data.get("revision", 0)),
        )
    )
