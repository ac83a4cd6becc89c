"""Balancer or agent process of a deployment."""

import attrs
import tomli_w

from kingcupport.common import address as address_module
from kingcupport.common import errors
from kingcupport.standins import process_probe

BALANCER_MODULE = 'kingcupport.balancer'
AGENT_MODULE = 'kingcupport.agent'


@attrs.frozen
class DeploymentMember:
    """Names and addresses of a balancer or an agent.

    Args:
        name: Name in the release notes and in the process group.
        data_centre: Name of its data centre.
        address: Address of its UDP and TCP port.
        http_address: Address of the HTTP port for metrics and health.
        service: Name of the agent's service, empty for a balancer.
        server_address: Address of the agent's backend server, None for a
            balancer.
        slots: Number of slots of the backend server.
    """

    name: str
    data_centre: str
    address: address_module.Address
    http_address: address_module.Address
    service: str = ''
    server_address: address_module.Address | None = None
    slots: int = 1

    @property
    def kind(self):
        """``balancers`` or ``backend_servers``, as in release notes."""
        return 'backend_servers' if self.service else 'balancers'

    @property
    def module(self):
        """Name of the module to run with ``python -m``."""
        return AGENT_MODULE if self.service else BALANCER_MODULE

    @property
    def server_process_name(self):
        """Name of the backend server in the process group."""
        return f'{self.name}-server'

    def entry(self, **changes):
        """Return the release note entry of the member, a dict of scalars.

        Args:
            changes: Fields to override, for example ``weight``.
        """
        plain = {'name': self.name, 'data_centre': self.data_centre}
        if self.service:
            plain |= {
                'service': self.service,
                'agent_address': str(self.address),
                'server_address': str(self.server_address),
                'slots': self.slots,
            }
        else:
            plain['address'] = str(self.address)
        return plain | changes

    def write_settings(self, path, configuration_address, **tables):
        """Write the settings file of the member.

        Args:
            path: Path of the file.
            configuration_address: Address of the configuration service.
            tables: Additional keys, for example ``limits={...}``.
        """
        plain = {
            'name': self.name,
            'data_centre': self.data_centre,
            'address': str(self.address),
            'http_address': str(self.http_address),
            'configuration_address': str(configuration_address),
        }
        if self.service:
            plain |= {
                'service': self.service,
                'server_address': str(self.server_address),
                'slots_count': self.slots,
            }
        path.write_text(tomli_w.dumps(plain | tables))

    def probe(self):
        """Return a ProcessProbe for the HTTP port."""
        return process_probe.ProcessProbe(self.http_address)

    def started(self):
        """Return whether it has read a fleet, even one without the member."""
        try:
            return (
                self.probe().ready()
                or 'not in the fleet' in self.probe().readiness()
            )
        except errors.KingcupportError:
            return False

    def ready_at(self, revision):
        """Return whether it is ready with at least the given revision."""
        try:
            probe = self.probe()
            return probe.ready() and (probe.revision() or 0) >= revision
        except errors.KingcupportError:
            return False
