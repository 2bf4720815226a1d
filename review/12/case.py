"""FAILBACK: the only target of a zone crashes and starts again under its id.

The store is silent meanwhile. With TROUBLE=0 the target doesn't crash and the
store answers.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve()
sys.path.insert(0, str(next(
    p for p in HERE.parents if (p / 'standins3.py').exists()
)))
import standins3 as s  # noqa: E402

SILENCE_S = 4.0
CRASHED_S = 1.2


class Case(s.ColdWorld):
    async def trouble(self):
        victim = self.servers[-1]
        if s.TROUBLE:
            self.store.begin_silence()
            self.record('the store is silent')
        await asyncio.sleep(0.3)
        if s.TROUBLE:
            victim.crash()
        await asyncio.sleep(CRASHED_S)
        if s.TROUBLE:
            await victim.start_again(self.warmup_s)
        await asyncio.sleep(SILENCE_S - CRASHED_S - 0.3)
        if s.TROUBLE:
            self.store.end_silence()
            self.record('the store answers')


if __name__ == '__main__':
    s.main(Case)
