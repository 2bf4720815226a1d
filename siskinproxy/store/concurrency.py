"""Concurrent calls to the store."""

import asyncio
from collections.abc import Awaitable, Iterable
from typing import Any

__all__ = ('run_all',)


async def run_all(calls: Iterable[Awaitable[Any]]) -> None:
    """Run calls concurrently and wait for all of them.

    Parameters
    ----------
    calls : iterable of awaitable
        Calls to run.

    Raises
    ------
    StoreError
        The first error; the other calls have ended as well.
    """
    results = await asyncio.gather(*calls, return_exceptions=True)
    for outcome in results:
        if isinstance(outcome, BaseException):
            raise outcome
