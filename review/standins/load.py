"""Clients that keep flows open, and clients that open one for each request."""

import asyncio
import itertools
import random

from standins import fleet as fleet_module

_numbers = itertools.count(1)


def next_request_id():
    """Return an id that no other request has."""
    return f'q-{next(_numbers)}'


class KeptFlow:
    """A client that keeps one flow open for many requests.

    Attributes:
        is_opened: Whether the flow was opened and its first request answered.
        answered: Number of its requests that were answered.
        was_reset: Whether a reset ended the flow.
    """

    def __init__(self, flow, pause_s):
        self.flow = flow
        self.is_opened = False
        self.answered = 0
        self.was_reset = False
        self._pause_s = pause_s

    async def run(self):
        """Open the flow and send requests until it ends."""
        if not await self.flow.open():
            return
        while True:
            answer = await self.flow.request(next_request_id())
            if answer is None or answer == 'reset':
                self.was_reset = answer == 'reset'
                return
            self.is_opened = True
            self.answered += 1
            await asyncio.sleep(self._pause_s * random.uniform(0.8, 1.2))


class Load:
    """All clients of a case."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.kept = []
        self.fresh_answered = 0
        self.fresh_failed = 0
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a coroutine until the end of the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def keep_flows(
        self,
        count,
        pause_s,
        *,
        over_s=1.0,
        address=fleet_module.SERVICE_ADDRESS,
    ):
        """Open flows that are kept open, evenly over a time."""
        for number in range(count):
            machine = self.fleet.clients[number % len(self.fleet.clients)]
            kept = KeptFlow(machine.open_flow(address), pause_s)
            self.kept.append(kept)
            self.spawn(kept.run())
            await asyncio.sleep(over_s / count)

    async def open_fresh(self, per_s, *, address=fleet_module.SERVICE_ADDRESS):
        """Open a flow for each request, at a steady rate; never returns."""
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        while True:
            machine = random.choice(self.fleet.clients)
            self.spawn(self._serve(machine.open_flow(address)))
            next_s += random.uniform(0.5, 1.5) / per_s
            await asyncio.sleep(max(0, next_s - loop.time()))

    async def _serve(self, flow):
        answer = None
        if await flow.open():
            answer = await flow.request(next_request_id(), budget_s=1.0)
            flow.close()
        if answer is None or answer == 'reset':
            self.fresh_failed += 1
        else:
            self.fresh_answered += 1
        await asyncio.sleep(1)
        flow.machine.flows.pop(flow.source, None)

    def flow_of(self, source):
        """Return the flow of a client's end, or None."""
        for machine in self.fleet.clients:
            if source in machine.flows:
                return machine.flows[source]
        return None

    def summary(self):
        """Return one line with the counts."""
        return (
            f'kept flows: {len(self.kept)}, opened '
            f'{sum(k.is_opened for k in self.kept)}, reset '
            f'{sum(k.was_reset for k in self.kept)}; fresh: '
            f'{self.fresh_answered} answered, {self.fresh_failed} failed'
        )
