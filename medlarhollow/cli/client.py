"""Client of the administration API."""

import asyncio
import uuid

import aiohttp
from result import Err
from result import Ok

from .. import clock
from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import Failure

__all__ = ["AdminClient", "get_json"]

# A replica tries to commit a change for 5 s before it responds.
_ATTEMPT_TIMEOUT_S = 6.0
_RETRY_DELAY_S = 0.2
_ERROR_KINDS = {kind.name.lower(): kind for kind in ErrorKind}
# Errors after which another replica or a later attempt may succeed.
_RETRYABLE = {
    ErrorKind.NOT_LEADER,
    ErrorKind.NO_QUORUM,
    ErrorKind.OVERLOADED,
    ErrorKind.DRAINING,
}


class AdminClient:
    """Send requests to the control replicas, with retries.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session.
    addresses : tuple of str
        ``host:port`` or URL of the administration API of each replica.
    token : str
        Token of the operator.
    timeout_s : float
        Limit for one request including all attempts, in seconds.
    """

    def __init__(self, session, addresses, token, timeout_s):
        self._session = session
        self._addresses = tuple(addresses)
        self._token = token
        self._timeout_s = timeout_s

    async def read(self, path, query=None):
        """Read from the first replica that responds.

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
        """Read from every replica, with one attempt each.

        Returns
        -------
        list of result.Result
            Results in the order of the addresses.
        """
        deadline_at = clock.monotonic() + self._timeout_s
        attempts = (
            self._attempt(address, "GET", path, None, None, {}, deadline_at)
            for address in self._addresses
        )
        return await asyncio.gather(*attempts)

    async def change(
        self,
        method,
        path,
        body=None,
        query=None,
        request_id=None,
        base_revision=0,
    ):
        """Send a change; retries repeat its request identifier.

        Parameters
        ----------
        method, path : str
            HTTP method and path of the API.
        body : dict or None
            JSON data.
        query : dict or None
            Query parameters as text.
        request_id : str or None
            Request identifier; None for a new one.
        base_revision : int
            Operator revision that the request is based on; 0 for no check.

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
        deadline_at = clock.monotonic() + self._timeout_s
        may_be_accepted = False
        while True:
            for address in self._addresses:
                result = await self._attempt(
                    address, method, path, query, body, headers, deadline_at
                )
                if result.is_ok():
                    return result
                kind = result.err_value.kind
                may_be_accepted = may_be_accepted or kind in (
                    ErrorKind.OUTCOME_UNKNOWN,
                    ErrorKind.NO_QUORUM,
                )
                if kind not in _RETRYABLE and kind is not (
                    ErrorKind.OUTCOME_UNKNOWN
                ):
                    return result
            if clock.monotonic() + _RETRY_DELAY_S >= deadline_at:
                break
            await asyncio.sleep(_RETRY_DELAY_S)
        if method == "GET" or not may_be_accepted:
            return _as_not_accepted(result.err_value)
        return fail(
            ErrorKind.OUTCOME_UNKNOWN,
            "the change may or may not have been accepted; retry it "
            f"with the request id {headers['x-request-id']} "
            f"({result.err_value.detail})",
        )

    async def _attempt(
        self, address, method, path, query, body, headers, deadline_at
    ):
        remaining_s = max(deadline_at - clock.monotonic(), 0.05)
        url = address if "://" in address else f"http://{address}"
        try:
            async with self._session.request(
                method,
                f"{url}{path}",
                params=query,
                json=body,
                headers={**headers, "authorization": f"Bearer {self._token}"},
                timeout=aiohttp.ClientTimeout(
                    min(remaining_s, _ATTEMPT_TIMEOUT_S)
                ),
            ) as response:
                return await _parse_response(address, response)
        except aiohttp.ClientConnectorError as error:
            return fail(ErrorKind.NOT_LEADER, str(error))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            text = str(error) or type(error).__name__
            return fail(ErrorKind.OUTCOME_UNKNOWN, f"{address}: {text}")


async def get_json(session, address, path, query, timeout_s):
    """Read JSON from an address, without a token and without retries.

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
        ) as response:
            return await _parse_response(address, response)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        text = str(error) or type(error).__name__
        return fail(ErrorKind.NO_QUORUM, f"{address}: {text}")


def _as_not_accepted(failure):
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return fail(ErrorKind.NO_QUORUM, failure.detail)
    return Err(failure)


async def _parse_response(address, response):
    data = await response.json(content_type=None)
    if not isinstance(data, dict):
        return fail(
            ErrorKind.OUTCOME_UNKNOWN, f"{address}: not a response of the API"
        )
    if response.status == 200:
        return Ok(data)
    kind = _ERROR_KINDS.get(data.get("error"), ErrorKind.OUTCOME_UNKNOWN)
    return Err(
        Failure(
            kind=kind,
            detail=str(data.get("detail", f"status {response.status}")),
            revision=int(data.get("revision", 0)),
        )
    )
