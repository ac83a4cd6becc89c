"""Compares an agent's settings with its entry in the fleet."""


def mismatch(fleet, settings):
    """Return why an agent cannot serve under a fleet, or an empty text.

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


def has_moved(fleet, settings):
    """Return whether a note took this agent's place in its service away.

    That is so when the host was withdrawn, or changed to another service or
    agent address: callers then look for its connections elsewhere.

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
