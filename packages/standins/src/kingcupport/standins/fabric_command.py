"""Command that runs the fabric stand-in."""

import random

from cleo.commands import command
import cleo.helpers

from kingcupport.common import clock as clock_module
from kingcupport.standins import fabric as fabric_module
from kingcupport.standins import fabric_control
from kingcupport.standins import fleet_poller
from kingcupport.standins import program


class FabricCommand(command.Command):
    """The command ``kingcupport-standin fabric``."""

    name = 'fabric'
    description = 'Accepts TCP for each service and sprays packets.'
    options = [  # noqa: RUF012 - cleo declares it as an instance list
        cleo.helpers.option(
            'return-address',
            None,
            'ip:port of the UDP port for answers.',
            flag=False,
        ),
        cleo.helpers.option(
            'control', None, 'ip:port of the HTTP control port.', flag=False
        ),
        cleo.helpers.option(
            'configuration-service',
            None,
            'ip:port to learn services and balancers from.',
            flag=False,
        ),
        cleo.helpers.option(
            'balancer',
            None,
            'ip:port of a balancer.',
            flag=False,
            multiple=True,
        ),
        cleo.helpers.option(
            'service', None, 'ip:port of a service.', flag=False, multiple=True
        ),
        cleo.helpers.option(
            'seed', None, 'Seed for the faults.', flag=False, default='1'
        ),
    ]

    def handle(self):
        """Serve until terminated; return the exit code."""
        clock = clock_module.make_system_clock()
        fabric = fabric_module.Fabric(
            program.read_address(self, 'return-address'),
            clock,
            random.Random(),
            random.Random(program.read_number(self, 'seed')),
        )
        control = fabric_control.FabricControl(
            program.read_address(self, 'control'), fabric
        )
        services = [fabric, control]
        if self.option('configuration-service'):
            services.append(self._make_poller(fabric, clock))
        else:
            fabric.set_balancers(self._read_addresses('balancer'))
            fabric.set_services(self._read_addresses('service'))
        program.run_until_terminated(*services)
        return program.EXIT_OK

    def _make_poller(self, fabric, clock):
        def on_fleet(fleet):
            fabric.set_balancers(b.address for b in fleet.balancers.values())
            fabric.set_services([s.address for s in fleet.services.values()])

        address = program.read_address(self, 'configuration-service')
        return fleet_poller.FleetPoller(address, clock, on_fleet)

    def _read_addresses(self, name):
        return [
            program.parse_option_address(name, text)
            for text in self.option(name)
        ]
