"""Servers, routes, flows and packet flags for tests of forwarded flows."""

import manual_clock

from kingcupport.flows import flow_route
from kingcupport.flows import flow_server
from kingcupport.flows import store_revision
from kingcupport.standins import plain_flow_format

GATE = ('198.18.0.1', 443)
AUDIO = ('198.18.0.2', 443)
FORMAT = plain_flow_format.PlainFlowFormat()
OPEN = 64
OPEN_ANSWER = 80
ACKNOWLEDGE = 16
CLOSE = 18
RESET = 1


def make_server(number, service='gate', **changes):
    values = {
        'name': f'{service}-{number}',
        'service': service,
        'ip': f'10.0.0.{number}',
        'data_centre': 'dakar',
        'slots': 1,
        'is_draining': False,
        'boot_utc_ms': 1000,
        'is_cold': False,
        'sequence': number,
        'revision': number,
    }
    values.update(changes)
    return flow_server.FlowServer(**values)


def make_entry(number, era, revision, sequence, **changes):
    """Return a server as the store has it at a revision of an era."""
    return make_server(
        number,
        revision=store_revision.qualify(era, revision),
        sequence=sequence,
        **changes,
    )


def make_configuration(
    version=1,
    addresses=((GATE, 'gate'), (AUDIO, 'audio')),
    target_ms=0,
    timeout_ms=0,
):
    routes = [
        flow_route.FlowRoute(
            f'r{i}',
            address,
            ((service, 1),),
            target_ms=target_ms,
            timeout_ms=timeout_ms,
        )
        for i, (address, service) in enumerate(addresses)
    ]
    return flow_route.FlowConfiguration(
        version, {route.address: route for route in routes}, 15_000
    )


def make_flow(number, service_address=GATE):
    client = (f'100.64.0.{number % 200 + 1}', 1024 + number)
    return FORMAT.make_flow(client, service_address)


def make_clock():
    return manual_clock.ManualClock()
