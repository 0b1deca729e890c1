"""Replaces one core machine; two disks are lost 5.5 s after its successor has started."""

import asyncio
import pathlib
import sys

from core import CONFIG, find_leader, lose_disks, read_back, start_core, start_successor
from harness import TROUBLE, run_case

# The removed machine stops counting catch_up_s (4 s) after its successor has started.
AFTER_SUCCESSOR_S = 5.5


async def play(deployment):
    operator = await start_core(deployment)
    if TROUBLE:
        leader = await find_leader(operator)
        old = next(host for host in reversed(operator.cores) if host is not leader)
        await old.kill()
        await asyncio.sleep(1.0)
        start_successor(operator, old, 21)
        await asyncio.sleep(AFTER_SUCCESSOR_S - 0.2)
    if await operator.put(2, 1, CONFIG, 10) != 200:
        return ["version 2 was not acknowledged"]
    if TROUBLE:
        leader = await find_leader(operator)
        lost = [host for host in operator.cores if host is not leader][:2]
        await lose_disks(operator, lost, 1.0)
    return await read_back(deployment, operator, 2)


sys.exit(run_case(pathlib.Path(__file__).parent, play))
