"""Replaces two core machines 6 s apart, then loses two disks long after."""

import asyncio
import pathlib
import sys

from core import CONFIG, find_leader, lose_disks, read_back, start_core, start_successor
from harness import TROUBLE, run_case


async def replace(operator, originals, number):
    """Planned: the new machine starts first, then the old one, not the leader, gets SIGTERM."""
    leader = await find_leader(operator)
    old = next(host for host in reversed(originals)
               if host in operator.cores and host is not leader)
    start_successor(operator, old, number)
    await asyncio.sleep(2)
    await old.terminate()


async def play(deployment):
    operator = await start_core(deployment)
    originals = list(operator.cores)
    if TROUBLE:
        await replace(operator, originals, 21)
        await asyncio.sleep(4)
        await replace(operator, originals, 22)
        await asyncio.sleep(20)
    if await operator.put(2, 1, CONFIG, 10) != 200:
        return ["version 2 was not acknowledged after planned work alone"]
    if TROUBLE:
        await asyncio.sleep(2)
        lost = [host for host in originals if host in operator.cores][:2]
        await lose_disks(operator, lost, 1.5)
    return await read_back(deployment, operator, 2)


sys.exit(run_case(pathlib.Path(__file__).parent, play))
