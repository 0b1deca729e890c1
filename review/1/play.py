"""Rolls the core, then loses one disk: is the acknowledged configuration still there?"""

import asyncio
import pathlib
import sys

from harness import BOUNDS, CONTROL, TROUBLE, ZONES, call, document, route, run_case, start_system


async def find_leader(cores):
    """The core machine that answers a read itself instead of naming another one."""
    for host in cores:
        answer = await call((host.address, CONTROL), "GET /document")
        if answer is not None and answer[0] == 200:
            return host
    return None


async def restart_leader(operator):
    leader = await find_leader(operator.cores)
    await leader.terminate()
    await asyncio.sleep(0.5)
    leader.start(False, [host.address for host in operator.cores[:3]])
    await asyncio.sleep(BOUNDS["catch_up_s"] + 2)


async def replace(deployment, operator, number):
    """Planned: the new machine starts first, then the old one, not the leader, gets SIGTERM."""
    leader = await find_leader(operator.cores)
    old = next(host for host in operator.cores if host is not leader)
    new = deployment.add_host("control", number, old.zone, old.memory_mb)
    new.start(False, [host.address for host in operator.cores[:3]])
    await asyncio.sleep(2)
    operator.cores.remove(old)
    operator.cores.append(new)
    await old.terminate()
    await asyncio.sleep(10)


async def play(deployment):
    zones = list(ZONES)
    cores = [deployment.add_host("control", 11 + i, zones[i], 256) for i in range(5)]
    entries = [deployment.add_host("entry", 31, zones[0], 260)]
    config = document([route("r", "/r/", "repeatable", "s", 2)], ["s"])
    operator = await start_system(deployment, cores, entries, config)
    await asyncio.sleep(4)
    if TROUBLE:
        await restart_leader(operator)
        await replace(deployment, operator, 21)
        await replace(deployment, operator, 22)
    if await operator.put(2, 1, config, 10) != 200:
        return ["version 2 was not acknowledged after planned work alone"]
    if TROUBLE:
        await asyncio.sleep(2)
        lost = await find_leader(operator.cores)
        await lost.kill()
        lost.delete_data()
        await asyncio.sleep(1.5)
        lost.start(False, [host.address for host in operator.cores[:3]])
        await asyncio.sleep(BOUNDS["recovery_s"])
    running = [host.name for host in operator.cores if host.is_running()]
    deployment.record.write(f"running core machines: {running}")
    number = await operator.get(10)
    return [] if number == 2 else [f"version 2 was acknowledged; read back: {number}"]


sys.exit(run_case(pathlib.Path(__file__).parent, play))
