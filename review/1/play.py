"""Rolls the core, then loses one disk: is the acknowledged configuration still there?"""

import asyncio
import pathlib
import sys

from core import (CONFIG, find_leader, lose_disks, read_back, seeds, start_core, start_successor)
from harness import BOUNDS, TROUBLE, run_case


async def restart_leader(operator):
    leader = await find_leader(operator)
    await leader.terminate()
    await asyncio.sleep(0.5)
    leader.start(False, seeds(operator))
    await asyncio.sleep(BOUNDS["catch_up_s"] + 2)


async def replace(operator, number):
    """Planned: the new machine starts first, then the old one, not the leader, gets SIGTERM."""
    leader = await find_leader(operator)
    old = next(host for host in operator.cores if host is not leader)
    start_successor(operator, old, number)
    await asyncio.sleep(2)
    await old.terminate()
    await asyncio.sleep(10)


async def play(deployment):
    operator = await start_core(deployment)
    if TROUBLE:
        await restart_leader(operator)
        await replace(operator, 21)
        await replace(operator, 22)
    if await operator.put(2, 1, CONFIG, 10) != 200:
        return ["version 2 was not acknowledged after planned work alone"]
    if TROUBLE:
        await asyncio.sleep(2)
        await lose_disks(operator, [await find_leader(operator)], 1.5)
    return await read_back(deployment, operator, 2)


sys.exit(run_case(pathlib.Path(__file__).parent, play))
