"""What all parts of at-most-once execution at one agent share."""

import attrs

from kingcupport.fleet import service as service_module


@attrs.frozen
class ClaimContext:
    """Identity of an agent and its ways to the outside.

    Args:
        name: Name of the agent.
        service: Name of its service.
        keeper: Object with ``fleet`` and ``on_accept(callback)``.
        instance_list: ClaimInstanceList or the control package's list.
        caller: PeerCaller.
        clock: Clock.
        incarnation: Random number of this process.
    """

    name: str
    service: str
    keeper: object
    instance_list: object
    caller: object
    clock: object
    incarnation: int

    @property
    def revision(self):
        """Revision in force."""
        return self.keeper.fleet.revision

    @property
    def retention_ms(self):
        """Retention time of the service."""
        service = self.keeper.fleet.services.get(self.service)
        if service is None:
            return service_module.DEFAULT_RETENTION_MS
        return service.retention_ms

    def now_ms(self):
        """Return the monotonic time."""
        return self.clock.monotonic_ms()
