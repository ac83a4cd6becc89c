"""Flows that an agent has displaced are reset after a hand-over."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import fleet as fleet_module  # noqa: E402
from standins import load as load_module  # noqa: E402

# The host takes 2,000 connections. Its two slots serve 154 requests of 13 ms a
# second; these clients send 138.
KEPT_FLOWS = 400
PAUSE_S = 12.0
FRESH_FLOWS_PER_S = 105


async def play(fleet, is_troubled):
    """Play the case; return whether no open flow was reset."""
    await fleet.start_store()
    for number in (1, 2):
        fleet.start_balancer(number)
    await fleet.publish({fleet_module.SERVICE_ADDRESS: 'billetterie'})
    host = await fleet.start_host(1, 'i-1', 'billetterie', slots=2)
    await fleet.start_clients(8)
    await fleet.wait_ready()
    fleet.is_first_start = False
    await asyncio.sleep(2)
    load = load_module.Load(fleet)
    load.spawn(load.keep_flows(KEPT_FLOWS, PAUSE_S, over_s=10))
    load.spawn(load.open_fresh(FRESH_FLOWS_PER_S))
    await asyncio.sleep(45)
    fleet.record(load.summary())
    fleet.record(f'host has opened {host.opened_count} flows')
    fleet.record(f'resets before the hand-over: {len(fleet.reset_flows)}')
    if is_troubled:
        fleet.terminate(fleet.balancer_ip(2))
    await asyncio.sleep(12)
    fleet.record(load.summary())
    fleet.record(f'open flows reset by the system: {len(fleet.reset_flows)}')
    return not fleet.reset_flows


if __name__ == '__main__':
    sys.exit(fleet_module.run(FOLDER, play))
