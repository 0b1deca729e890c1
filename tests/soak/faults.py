"""Faults of the soak. Each one is a coroutine that strikes, lasts and ends.

Planned work is what an operator or the platform does on purpose; it must not
cut a request. Everything else makes the system uncalm until it has ended.
"""

import asyncio
import signal


async def kill_entry(soak, rng):
    host = rng.choice(soak.system.entries)
    async with soak.owned(host):
        await host.kill()
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        host.start(False)
        await asyncio.sleep(1.0)


async def kill_control(soak, rng):
    host = rng.choice(soak.system.controls)
    async with soak.lost_control(host):
        await host.kill()
        if rng.random() < 0.5:
            host.tear_last_write(rng.randrange(1, 12))
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        host.start(False)
        await asyncio.sleep(1.0)


async def lose_disk(soak, rng):
    """A control host returns with an empty disk and has to catch up."""
    host = rng.choice(soak.system.controls)
    async with soak.lost_control(host):
        await host.kill()
        host.lose_disk()
        host.start(False)
        await soak.until_member(host)


async def kill_all_controls(soak, rng):
    async with soak.all_controls():
        for host in soak.system.controls:
            host.is_stopping = True
            host.signal(signal.SIGKILL)
        for host in soak.system.controls:
            await host.kill()
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        for host in soak.system.controls:
            host.start(False)
        await asyncio.sleep(2.0)


async def freeze(soak, rng):
    host = rng.choice(soak.system.hosts())
    guard = soak.lost_control(host) if host.role == "control" else soak.owned(host)
    async with guard:
        host.freeze()
        await asyncio.sleep(rng.uniform(0.2, 5.0))
        host.thaw()
        await asyncio.sleep(0.5)


async def disturb_link(soak, rng):
    proxy = rng.choice(soak.proxies)
    mode = rng.choice(["delay", "silent", "no_answers", "refuse"])
    proxy.set_mode(mode, delay_s=rng.uniform(0.05, 0.5))
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    # Bytes that were held are lost with their connections.
    if mode != "delay":
        proxy.reset_connections()
    proxy.set_mode("pass")


async def reset_connections(soak, rng):
    for proxy in rng.sample(soak.proxies, len(soak.proxies) // 3):
        proxy.reset_connections()


async def crash_upstream(soak, rng):
    upstream = rng.choice(soak.upstreams)
    upstream.crash()
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    await soak.replace(upstream, keeps_address=rng.random() < 0.5)


async def fail_upstream(soak, rng):
    upstream = rng.choice(soak.upstreams)
    upstream.failure_share = rng.choice([0.2, 1.0])
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    upstream.failure_share = 0.0


async def drain_upstream(soak, rng):
    """Planned: the instance leaves, serves for a while, and is replaced."""
    upstream = rng.choice(soak.upstreams)
    if upstream.state != "serving":
        return
    await upstream.leave()
    await asyncio.sleep(4.0)
    upstream.crash()
    await soak.replace(upstream, keeps_address=rng.random() < 0.5)


async def stop_entry(soak, rng):
    """Planned: SIGTERM of an entry host, and its next start."""
    host = rng.choice(soak.system.entries)
    async with soak.owned(host):
        await host.terminate()
        host.start(False)
        await asyncio.sleep(2.0)


async def stop_control(soak, rng):
    host = rng.choice(soak.system.controls)
    async with soak.lost_control(host):
        await host.terminate()
        host.start(False)
        await asyncio.sleep(1.0)


async def reload(soak, rng):
    """Planned: SIGHUP says that the settings may have changed."""
    rng.choice(soak.system.hosts()).signal(signal.SIGHUP)


PLANNED = [drain_upstream, stop_entry, reload]
UNPLANNED = [kill_entry, kill_control, lose_disk, kill_all_controls, freeze, disturb_link,
             disturb_link, reset_connections, crash_upstream, fail_upstream, stop_control]
