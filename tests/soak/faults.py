"""Faults of the soak. Each one is a coroutine that injects a fault and ends it.

Planned work is done on purpose by an operator or the platform; no response may be lost
because of it. Other faults, also stop_control, may lose responses until shortly after they end.
"""

import asyncio
import signal


async def kill_entry(soak, rng):
    host = rng.choice(soak.system.entries)
    async with soak.locked(host):
        await host.kill()
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        host.start(False)
        await asyncio.sleep(1.0)


async def kill_control(soak, rng):
    host = rng.choice(soak.system.controls)
    async with soak.control_outage(host):
        if host not in soak.system.controls:
            return
        await host.kill()
        if rng.random() < 0.5:
            host.append_partial_record(rng.randrange(1, 12))
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        host.start(False)
        await asyncio.sleep(1.0)


async def lose_disk(soak, rng):
    """Restarts a control host with an empty data folder; it has to join and catch up."""
    host = rng.choice(soak.system.controls)
    async with soak.control_outage(host):
        if host not in soak.system.controls:
            return
        await host.kill()
        host.delete_data()
        host.start(False)
        await soak.wait_until_member(host)


async def replace_control(soak, rng):
    """Removes a control host for good; its successor starts a moment later."""
    old = rng.choice(soak.system.controls)
    async with soak.control_outage(old):
        if old not in soak.system.controls:
            return
        await old.kill()
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        await soak.start_successor(old)


async def replace_control_as_planned(soak, rng):
    """Starts the successor first, then stops the old host with SIGTERM."""
    old = rng.choice(soak.system.controls)
    async with soak.control_outage(old):
        if old not in soak.system.controls:
            return
        await soak.start_successor(old)
        await asyncio.sleep(2.0)
        await old.terminate()


async def stop_leader(soak, rng):
    leader = await soak.find_leader()
    if leader is None:
        return
    async with soak.control_outage(leader):
        if leader in soak.system.controls:
            await leader.terminate()
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            leader.start(False)


async def kill_all_controls(soak, rng):
    async with soak.all_controls_locked():
        for host in soak.system.controls:
            host.is_exit_expected = True
            host.signal(signal.SIGKILL)
        for host in soak.system.controls:
            await host.kill()
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        for host in soak.system.controls:
            host.start(False)
        await asyncio.sleep(2.0)


async def freeze(soak, rng):
    host = rng.choice(soak.system.hosts())
    guard = soak.control_outage(host) if host.role == "control" else soak.locked(host)
    async with guard:
        if host not in soak.system.hosts():
            return
        host.freeze()
        await asyncio.sleep(rng.uniform(0.2, 5.0))
        host.resume()
        await asyncio.sleep(0.5)


async def disturb_link(soak, rng):
    proxy = rng.choice(soak.proxies)
    mode = rng.choice(["delay", "silent", "no_answers", "refuse"])
    proxy.set_mode(mode, delay_s=rng.uniform(0.05, 0.5))
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    # Resets the connections, so that bytes held until now are lost instead of sent late.
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
    await soak.replace(upstream, keep_address=rng.random() < 0.5)


async def fail_upstream(soak, rng):
    upstream = rng.choice(soak.upstreams)
    upstream.failure_share = rng.choice([0.2, 1.0])
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    upstream.failure_share = 0.0


async def drain_upstream(soak, rng):
    """Planned: the instance leaves, keeps serving for 4 s, and is replaced."""
    upstream = rng.choice(soak.upstreams)
    if upstream.state != "serving":
        return
    await upstream.leave()
    await asyncio.sleep(4.0)
    upstream.crash()
    await soak.replace(upstream, keep_address=rng.random() < 0.5)


async def stop_entry(soak, rng):
    """Planned: stops an entry host with SIGTERM and restarts it."""
    host = rng.choice(soak.system.entries)
    async with soak.locked(host):
        await host.terminate()
        host.start(False)
        await asyncio.sleep(2.0)


async def stop_control(soak, rng):
    host = rng.choice(soak.system.controls)
    async with soak.control_outage(host):
        if host not in soak.system.controls:
            return
        await host.terminate()
        host.start(False)
        await asyncio.sleep(1.0)


async def reload(soak, rng):
    """Planned: sends SIGHUP, which reloads the settings."""
    rng.choice(soak.system.hosts()).signal(signal.SIGHUP)


async def change_seeds(soak, rng):
    """Planned: the settings of all hosts name other seeds; running ones get SIGHUP."""
    soak.system.seeds = rng.sample(soak.system.controls, 3)
    for host in soak.system.hosts():
        host.write_settings(False)
        host.signal(signal.SIGHUP)


PLANNED = [drain_upstream, stop_entry, reload, change_seeds]
UNPLANNED = [kill_entry, kill_control, lose_disk, kill_all_controls, freeze, disturb_link,
             disturb_link, reset_connections, crash_upstream, fail_upstream, stop_control,
             stop_leader, replace_control, replace_control_as_planned]
