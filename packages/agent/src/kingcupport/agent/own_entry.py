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
