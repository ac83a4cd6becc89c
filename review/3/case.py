"""A balancer that started while entries were missing never learns of them."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import fleet as fleet_module  # noqa: E402
from standins import load as load_module  # noqa: E402

KEPT_FLOWS = 150
PAUSE_S = 1.0
OUTAGE_S = 2.6
# Entries that expired while the store was down are back within 2 s.
LATE_RETURN_S = 1.9
# The reader of the view ranks before the balancer that is added.
NAMES = {
    1: 'front-dakar-plateau-5',
    2: 'front-dakar-plateau-3',
    3: 'front-dakar-plateau-1',
}


async def play(fleet, is_troubled):
    """Play the case; return whether no open flow was reset."""
    await fleet.start_store()
    for number in (1, 2):
        fleet.start_balancer(number, NAMES[number])
    await fleet.publish({fleet_module.SERVICE_ADDRESS: 'billetterie'})
    hosts = [
        await fleet.start_host(number, f'i-{number}', 'billetterie', slots=2)
        for number in (1, 2, 3, 4)
    ]
    await fleet.start_clients(3)
    await fleet.wait_ready()
    fleet.is_first_start = False
    await asyncio.sleep(2)
    load = load_module.Load(fleet)
    await asyncio.sleep(3)
    if is_troubled:
        await interrupt_store(fleet, hosts)
    fleet.start_balancer(3, NAMES[3], seeds=(3, 4, 5))
    await asyncio.sleep(LATE_RETURN_S)
    for host in hosts:
        host.is_reporting = True
        await host.write_entry()
    fleet.record('all entries are back')
    # From here on there is no disruption, and all machines are in touch.
    await asyncio.sleep(6)
    await load.keep_flows(KEPT_FLOWS, PAUSE_S)
    await asyncio.sleep(4)
    fleet.record(load.summary())
    fleet.record(f'resets before the hand-over: {len(fleet.reset_flows)}')
    count_before = len(fleet.reset_flows)
    fleet.terminate(fleet.balancer_ip(2))
    await asyncio.sleep(8)
    fleet.record(load.summary())
    fleet.record(f'open flows reset by the system: {len(fleet.reset_flows)}')
    return len(fleet.reset_flows) == count_before


async def interrupt_store(fleet, hosts):
    """Take the store down until a call of the first balancer."""
    fleet.store.is_down = True
    fleet.record('store is down')
    await asyncio.sleep(OUTAGE_S)
    for host in hosts[1:]:
        host.is_reporting = False
    returned = asyncio.Event()

    def return_at_call(ip, _path):
        if ip == fleet.store_address(1)[0] and fleet.store.is_down:
            fleet.store.is_down = False
            fleet.record('store is back')
            returned.set()

    fleet.store.on_call = return_at_call
    await returned.wait()
    await hosts[0].write_entry()


if __name__ == '__main__':
    sys.exit(fleet_module.run(FOLDER, play))
