import asyncio
import contextlib
import signal
import sys

from siskinproxy.errors import StoreUnavailableError
from siskinproxy.standins.tests.ports import free_port
from siskinproxy.store import GrpcKeyValueClient

COMMAND = 'from siskinproxy.standins.store import main; main()'


async def get_when_ready(client):
    """Read an absent key, again and again until the process listens."""
    async with asyncio.timeout(20):
        while True:
            with contextlib.suppress(StoreUnavailableError):
                return await client.get('k')
            await asyncio.sleep(0.05)


def test_process_serves_and_stops():
    """Guards against a process that fails to parse its options or to stop.

    The tests of `StoreServer` do not use the command line.
    """

    async def scenario():
        port = free_port()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            COMMAND,
            f'--port={port}',
            f'--faults-port={free_port()}',
            '--writes-per-s=5',
        )
        client = GrpcKeyValueClient('127.0.0.1', port)
        await client.start()
        try:
            found = await get_when_ready(client)
            assert found.version == 0
            assert (await client.compare_and_swap('k', b'1', 0)).version == 1
            process.send_signal(signal.SIGINT)
            assert await asyncio.wait_for(process.wait(), 10) == 0
        finally:
            await client.close()
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(scenario())
