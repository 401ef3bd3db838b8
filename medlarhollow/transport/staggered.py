"""Attempts at several addresses, some of which may be gone."""

import asyncio
import collections

__all__ = ["first_result"]


async def first_result(
    attempt, addresses, stagger_s, concurrent, discard=None
):
    """Return the first result of an attempt at any of several addresses.

    Parameters
    ----------
    attempt : callable
        Coroutine function that takes an address and returns its result, or
        None if it failed; it is cancelled once another attempt has a result.
    addresses : iterable of str
        In order of preference.
    stagger_s : float
        Time in seconds without a result after which as many attempts again
        are started.
    concurrent : int
        Maximum number of attempts at the same time.
    discard : callable or None
        Called with each result that came at the same time as the first one.

    Returns
    -------
    object
        The first result, None if all attempts failed.

    Notes
    -----
    An attempt that fails is followed by the next one at once. Those without
    an outcome continue while others are started, so that the time to the
    first result does not grow with the number of addresses that are gone;
    compare the staggered connection attempts of RFC 8305.

    Examples
    --------
    >>> async def attempt(address):
    ...     return address if address == "c" else None
    >>> asyncio.run(first_result(attempt, "abcd", 1.0, 8))
    'c'
    """
    waiting = collections.deque(addresses)
    tasks = []
    count = 1
    try:
        while waiting or tasks:
            for _ in range(min(count, len(waiting))):
                tasks.append(asyncio.create_task(attempt(waiting.popleft())))
            await asyncio.wait(
                tasks,
                timeout=stagger_s if waiting else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            done = [task for task in tasks if task.done()]
            tasks = [task for task in tasks if not task.done()]
            results = [task.result() for task in done]
            results = [result for result in results if result is not None]
            if results:
                for result in results[1:]:
                    if discard is not None:
                        discard(result)
                return results[0]
            count = len(done) or min(len(tasks), concurrent - len(tasks))
        return None
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
