"""Builds release notes and their entries for the stand-in tests."""

from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note


def make_service_entry(name, address):
    return {'name': name, 'address': address}


def make_backend_server_entry(name, port, service='ticketing'):
    return {
        'name': name,
        'service': service,
        'agent_address': f'127.0.0.1:{port}',
        'server_address': f'127.0.0.1:{port + 1}',
        'data_centre': 'thies',
    }


def make_note_adding(fleet, **entries):
    plain = {
        'revision': fleet.revision + 1,
        'base': fleet.revision,
        'base_digest': fleet.digest,
        'added': entries,
    }
    return release_note.note_from_dict(plain)


def make_first_note():
    return make_note_adding(
        fleet_module.Fleet(),
        services=[make_service_entry('ticketing', '127.0.0.1:8001')],
        balancers=[
            {
                'name': 'balancer-1',
                'address': '127.0.0.1:8101',
                'data_centre': 'thies',
            }
        ],
        backend_servers=[make_backend_server_entry('ticketing-1', 8201)],
    )
