"""Dependencies shared by the at-most-once components of one agent."""

import attrs

from kingcupport.fleet import service as service_module


@attrs.frozen
class ClaimContext:
    """Identity of an agent and the collaborators that its claims use.

    Args:
        name: Name of the agent.
        service: Name of its service.
        registry: Object with ``fleet`` and
            ``add_accept_callback(callback)``, such as the control package's
            FleetRegistry.
        instance_list: ClaimInstanceList or the control package's list.
        caller: PeerCaller.
        clock: Clock.
        incarnation: Random number that identifies this process.
    """

    name: str
    service: str
    registry: object
    instance_list: object
    caller: object
    clock: object
    incarnation: int

    @property
    def revision(self):
        """Fleet revision in force at this agent."""
        return self.registry.fleet.revision

    @property
    def retention_ms(self):
        """Time for which the service's claims and results are kept."""
        service = self.registry.fleet.services.get(self.service)
        if service is None:
            return service_module.DEFAULT_RETENTION_MS
        return service.retention_ms

    def now_ms(self):
        """Return the monotonic time in milliseconds."""
        return self.clock.monotonic_ms()
