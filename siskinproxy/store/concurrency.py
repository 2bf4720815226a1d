"""Concurrent execution of calls to the store."""

import asyncio
from collections.abc import Awaitable, Iterable
from typing import Any

__all__ = ('run_all',)


async def run_all(calls: Iterable[Awaitable[Any]]) -> None:
    """Run calls concurrently and wait until every one has ended.

    Parameters
    ----------
    calls : iterable of awaitable
        Calls to run.

    Raises
    ------
    StoreError
        Error of the first call, in the order of `calls`, that failed.
    """
    results = await asyncio.gather(*calls, return_exceptions=True)
    for outcome in results:
        if isinstance(outcome, BaseException):
            raise outcome
