"""An entry of another writer makes a balancer reset open flows."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import fleet as fleet_module  # noqa: E402
from standins import load as load_module  # noqa: E402

KEPT_FLOWS = 60
PAUSE_S = 1.0


async def write_foreign_entry(fleet, host):
    """Report, as another writer, a service that no configuration names."""
    born = int(time.time() * 1000)
    for number in range(1, 1_000):
        await fleet.store.put(
            'servers/printer-7',
            {
                'service': 'impression',
                'address': f'{host.ip}:9100',
                'zone': 'dakar-plateau',
                'config_version': 'v1',
                'slots': 4,
                'state': 'ready',
                'cold_left_ms': 0,
                'seq_no': number,
                'born': born,
            },
        )
        await asyncio.sleep(fleet.heartbeat_s)


async def play(fleet, is_troubled):
    """Play the case; return whether no open flow was reset."""
    await fleet.start_store()
    for number in (1, 2):
        fleet.start_balancer(number)
    await fleet.publish(
        {
            fleet_module.SERVICE_ADDRESS: 'billetterie',
            ('127.251.0.2', 8443): 'guide-sonore',
        }
    )
    hosts = [
        await fleet.start_host(number, f'i-{number}', 'billetterie', slots=2)
        for number in (1, 2)
    ]
    await fleet.start_host(3, 'i-3', 'guide-sonore', slots=2)
    await fleet.start_clients(3)
    await fleet.wait_ready()
    fleet.is_first_start = False
    await asyncio.sleep(2)
    load = load_module.Load(fleet)
    await load.keep_flows(KEPT_FLOWS, PAUSE_S)
    await asyncio.sleep(3)
    if is_troubled:
        load.spawn(write_foreign_entry(fleet, hosts[0]))
    await asyncio.sleep(6)
    opened = sum(kept.is_opened for kept in load.kept)
    if opened < KEPT_FLOWS // 2 or fleet.reset_flows:
        raise fleet_module.CaseError(f'{load.summary()} before the hand-over')
    fleet.terminate(fleet.balancer_ip(2))
    await asyncio.sleep(8)
    fleet.record(load.summary())
    fleet.record(
        f'open flows reset by the system: {len(fleet.reset_flows)}; '
        f'requests run: {sum(len(h.runs) for h in fleet.hosts.values())}'
    )
    return not fleet.reset_flows


if __name__ == '__main__':
    sys.exit(fleet_module.run(FOLDER, play))
