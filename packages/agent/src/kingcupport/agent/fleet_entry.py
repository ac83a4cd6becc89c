"""Compares an agent's settings with its entry in the fleet."""


def describe_mismatch(fleet, settings):
    """Return why an agent cannot serve in a fleet, or an empty string.

    Args:
        fleet: The Fleet in force.
        settings: AgentSettings.
    """
    entry = fleet.backend_servers.get(settings.name)
    if entry is None:
        return 'not in the fleet'
    differing = [
        key
        for key, in_fleet, in_settings in (
            ('service', entry.service, settings.service),
            ('address', entry.agent_address, settings.address),
            ('server_address', entry.server_address, settings.server_address),
            ('slots', entry.slots, settings.slots_count),
        )
        if in_fleet != in_settings
    ]
    if differing:
        return 'the fleet and the settings differ in ' + ', '.join(differing)
    return ''


def has_left_service(fleet, settings):
    """Return whether the fleet no longer routes the service to this agent.

    This is the case when its backend server was withdrawn, or has another
    service or agent address. Balancers then send the packets of its
    connections to other agents.

    Args:
        fleet: The Fleet in force.
        settings: AgentSettings.
    """
    entry = fleet.backend_servers.get(settings.name)
    return (
        entry is None
        or entry.service != settings.service
        or entry.agent_address != settings.address
    )
