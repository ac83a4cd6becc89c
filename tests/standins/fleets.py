"""Small fleets and release notes for the tests of the stand-ins."""

from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note


def plain_service(name, address):
    return {'name': name, 'address': address}


def plain_backend_server(name, port, service='ticketing'):
    return {
        'name': name,
        'service': service,
        'agent_address': f'127.0.0.1:{port}',
        'server_address': f'127.0.0.1:{port + 1}',
        'data_centre': 'thies',
    }


def note_adding(fleet, **entries):
    plain = {
        'revision': fleet.revision + 1,
        'base': fleet.revision,
        'base_digest': fleet.digest,
        'added': entries,
    }
    return release_note.note_from_plain(plain)


def first_note():
    return note_adding(
        fleet_module.Fleet(),
        services=[plain_service('ticketing', '127.0.0.1:8001')],
        balancers=[
            {
                'name': 'balancer-1',
                'address': '127.0.0.1:8101',
                'data_centre': 'thies',
            }
        ],
        backend_servers=[plain_backend_server('ticketing-1', 8201)],
    )
