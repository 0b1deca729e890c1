"""Storms of changes on a large configuration: do the core machines stay in their memory?"""

import asyncio
import pathlib
import sys
import time

from harness import TROUBLE, ZONES, document, route, run_case, start_system

ROUTES = 1400  # "big_config, count = 1400"
MEMORY_MB = 256  # limits.memory_mb of the core machines
STORM_S = 1.5  # "config_storm, for_s = 1.5, gap_s = 0.06"
GAP_S = 0.06
PAUSE_S = 0.5
STORMS_END_S = 70


def large_document(number):
    """The same routes in each version; the time-out of one of them changes."""
    routes = [route(f"r-{i}", f"/route{i}/", "repeatable", "s", 2) for i in range(ROUTES)]
    routes[number % ROUTES]["timeout_s"] = 1 + number % 7 / 10
    return document(routes, ["s"])


async def enforce_memory(host, is_over, kills):
    """The platform: kills a process that uses more than memory_mb and starts it again."""
    while not is_over.is_set():
        used = host.rss_mb()
        if used > host.memory_mb:
            host.deployment.record.write(f"{host.name} uses {used:.0f} MB of {host.memory_mb}")
            await host.kill()
            kills.append(host.name)
            await asyncio.sleep(0.5)
            host.start(False, [core.address for core in host.deployment.hosts[:3]])
        await asyncio.sleep(0.02)


async def play(deployment):
    zones = list(ZONES)
    cores = [deployment.add_host("control", 11 + i, zones[i], MEMORY_MB) for i in range(5)]
    entry = deployment.add_host("entry", 31, zones[0], 260)
    operator = await start_system(deployment, cores, [entry], large_document(1))
    is_over = asyncio.Event()
    kills = []
    platform = [asyncio.create_task(enforce_memory(host, is_over, kills)) for host in cores]
    await asyncio.sleep(3)
    newest = 1
    end = time.monotonic() + (STORMS_END_S if TROUBLE else 0)
    while True:
        storm_end = time.monotonic() + STORM_S
        while time.monotonic() < storm_end:
            next_at = time.monotonic() + GAP_S
            if await operator.put(newest + 1, newest, large_document(newest + 1), 4) != 200:
                break
            newest += 1
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            if not TROUBLE:
                break
        used = " ".join(f"{host.rss_mb():.0f}" for host in cores)
        deployment.record.write(f"version {newest} acknowledged; memory of the core in MB: {used}")
        if time.monotonic() > end:
            break
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(5)
    number = await operator.get(10)
    is_over.set()
    await asyncio.gather(*platform)
    deployment.record.write(f"killed for their memory: {len(kills)} times, {sorted(set(kills))}")
    return [] if number is not None and number >= newest else [
        f"version {newest} was acknowledged; read back: {number}; "
        f"processes of the core exceeded their memory {len(kills)} times"]


sys.exit(run_case(pathlib.Path(__file__).parent, play))
