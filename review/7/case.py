"""Configurations come in quick succession to fronts with slow links."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins2 import world as world_module  # noqa: E402

BOUNDS = {
    'stable_window_ms': 5000,
    'ack_ms': 8000,
    'catch_up_s': 6,
    'drain_ms': 5000,
    'config_apply_ms': 5000,
    'outer_bound_ms': 15000,
    'recovery_s': 15,
}
LINK_MBPS = 5
IDLE_ROUTES = 1_400
# The dose of the site: a change each 60 ms for 1.5 s.
STORM_S = 1.5
STORM_GAP_S = 0.06


def route(name, ip, port):
    """Return a route to the service."""
    return {
        'name': name,
        'host': ip,
        'prefix': f'/{port}/',
        'kind': 'safe',
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'priority': 1,
        'service': 'desk',
    }


def dropped_route(world):
    """Return the address of the route that the last version drops."""
    return (f'{world.network}.9.2', 443)


def put(world, version, *, has_dropped, timeout_ms=1000):
    """Write a version; a storm's changes are those of a time-out."""
    routes = [route('main', *world.service_address)]
    if has_dropped:
        routes.append(route('dropped', *dropped_route(world)))
    routes += [
        {
            **route(
                f'idle-{n}',
                f'{world.network}.{100 + n // 250}.{n % 250 + 1}',
                443,
            ),
            'timeout_ms': timeout_ms,
        }
        for n in range(IDLE_ROUTES)
    ]
    world.store.put(
        'op/config',
        {
            'config_version': version,
            'routes': routes,
            'services': [{'name': 'desk'}],
            'limits': {'idle_timeout_ms': 30_000},
        },
    )


async def use(world, service, request_id, sent):
    """One request over a flow of its own."""
    flow = world.clients.new_flow(service)
    sent[flow.end] = time.monotonic()
    if not await flow.open():
        world.record.write(f'{request_id} was not opened')
        world.clients.forget(flow)
        return
    result = await flow.request(request_id)
    world.record.write(f'{request_id} ends with {result}')
    await flow.close()


async def play(world):
    """Play the case and return the breaches."""
    world.link_mbps = LINK_MBPS
    put(world, 1, has_dropped=True)
    await world.start(fronts=2)
    for number, name in enumerate(('i-a', 'i-b'), 1):
        await world.add_host(name, number, is_first=True, slots=2, work_ms=20)
    await world.wait_ready(2)
    await asyncio.sleep(6)
    version = 1
    if world_module.has_trouble():
        end_s = time.monotonic() + STORM_S
        while time.monotonic() < end_s:
            version += 2
            put(world, version, has_dropped=True, timeout_ms=1000 + version)
            await asyncio.sleep(STORM_GAP_S)
    put(world, version + 2, has_dropped=False)
    dropped_s = time.monotonic()
    world.record.write('the version without the route is confirmed')
    sent = {}
    tasks = []
    number = 0
    while time.monotonic() < dropped_s + 20:
        number += 1
        for service, kind in (
            (world.service_address, 'main'),
            (dropped_route(world), 'dropped'),
        ):
            tasks.append(
                asyncio.create_task(
                    use(world, service, f'{kind}-{number}', sent)
                )
            )
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    limit_s = dropped_s + BOUNDS['config_apply_ms'] / 1000
    return [
        f'a host took a SYN of the dropped route that was sent '
        f'{sent[end] - dropped_s:.2f} s after the confirmation'
        for host in world.hosts.values()
        for end, _, _, _ in host.opened
        if end in world.ends_of(dropped_route(world)) and sent[end] > limit_s
    ]


if __name__ == '__main__':
    world_module.run(play, HERE / 'record.txt', BOUNDS)
