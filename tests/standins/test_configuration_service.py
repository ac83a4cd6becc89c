"""Guards against a stand-in that serves unpublished or stale documents."""

import gzip
import json

import geventhttpclient
import pytest
from standins import fleets

from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.fleet import documents
from kingcupport.fleet import release_note
from kingcupport.standins import configuration_service
from kingcupport.standins import endpoint_faults
from kingcupport.standins import json_client
from kingcupport.standins import published_directory
from kingcupport.standins import published_state


@pytest.fixture
def state():
    clock = clock_module.make_system_clock()
    return published_state.PublishedState(clock, kept_notes_count=3)


@pytest.fixture
def service(state, tmp_path):
    directory = published_directory.PublishedDirectory(tmp_path, state)
    service = configuration_service.ConfigurationService(
        address.Address('127.0.0.1', 0),
        state,
        clock_module.make_system_clock(),
        directory,
    )
    service.start()
    yield service
    service.stop()


def _get(service, path):
    return json_client.call(service.address, 'GET', path)


def _publish_servers(state, count):
    notes = []
    for number in range(count):
        entry = fleets.make_backend_server_entry(
            f'extra-{number}', 9000 + 2 * number
        )
        notes.append(
            fleets.make_note_adding(state.fleet, backend_servers=[entry])
        )
        state.publish(notes[-1])
    return notes


def test_empty_fleet_is_served_before_the_first_note(service):
    assert _get(service, '/v1/fleet')['revision'] == 0
    assert _get(service, '/v1/notes?after=0') == []
    assert _get(service, '/v1/instances') == {'instances': {}}
    assert service.calls == {'notes': 1, 'fleet': 1, 'instances': 1}


def test_served_notes_and_fleet_equal_the_published_ones(service, state):
    note = fleets.make_first_note()
    state.publish(note)
    (plain,) = _get(service, '/v1/notes?after=0')
    assert release_note.note_from_dict(plain) == note
    plain_fleet = _get(service, '/v1/fleet')
    assert documents.fleet_from_dict(plain_fleet) == state.fleet
    assert _get(service, '/v1/notes?after=1') == []


def test_notes_no_longer_stored_are_answered_with_410(service, state):
    state.publish(fleets.make_first_note())
    _publish_servers(state, 3)
    assert len(_get(service, '/v1/notes?after=1')) == 3
    with pytest.raises(json_client.JsonClientError, match='status 410'):
        _get(service, '/v1/notes?after=0')


def test_invalid_revision_is_refused(service):
    with pytest.raises(json_client.JsonClientError, match='status 400'):
        _get(service, '/v1/notes?after=-1')


def test_faults_serve_an_old_state(service, state):
    state.publish(fleets.make_first_note())
    _publish_servers(state, 1)
    plain = {
        'notes': {'stale_revision': 1},
        'fleet': {'lag_ms': 60_000},
        'instances': {'down': True},
    }
    json_client.call(service.address, 'PUT', '/_faults', plain)
    assert _get(service, '/v1/notes?after=1') == []
    assert _get(service, '/v1/fleet')['revision'] == 0
    with pytest.raises(json_client.JsonClientError, match='status 503'):
        _get(service, '/v1/instances')
    service.faults['fleet'] = endpoint_faults.EndpointFaults()
    assert _get(service, '/v1/fleet')['revision'] == 2


def test_unknown_fault_is_refused(service):
    with pytest.raises(json_client.JsonClientError, match='status 400'):
        json_client.call(
            service.address, 'PUT', '/_faults', {'fleet': {'slow': 1}}
        )


def test_instance_states_follow_the_fleet_and_the_platform(service, state):
    state.publish(fleets.make_first_note())
    withdrawal = release_note.note_from_dict(
        {
            'revision': 2,
            'base': 1,
            'base_digest': state.fleet.digest,
            'withdrawn': {'backend_servers': ['ticketing-1']},
        }
    )
    state.publish(withdrawal)
    assert _get(service, '/v1/instances')['instances'] == {
        'balancer-1': 'live',
        'ticketing-1': 'leaving',
    }
    json_client.call(
        service.address, 'PUT', '/_instances', {'ticketing-1': 'gone'}
    )
    states = _get(service, '/v1/instances')['instances']
    assert states['ticketing-1'] == 'gone'


def test_directory_serves_notes_and_fleets(service, state, tmp_path):
    first = fleets.make_first_note()
    (tmp_path / 'one.json').write_text(
        json.dumps(release_note.note_to_dict(first))
    )
    (tmp_path / 'broken.json').write_text('{"base": ')
    assert _get(service, '/v1/fleet')['revision'] == 1
    ahead = documents.fleet_to_dict(state.fleet) | {'revision': 9}
    (tmp_path / 'two.json').write_text(json.dumps(ahead))
    service._scan_due_ms = 0
    assert _get(service, '/v1/fleet')['revision'] == 9
    with pytest.raises(json_client.JsonClientError, match='status 410'):
        _get(service, '/v1/notes?after=1')


def test_long_answer_is_compressed_for_clients_that_accept_gzip(
    service, state
):
    state.publish(fleets.make_first_note())
    _publish_servers(state, 20)
    client = geventhttpclient.HTTPClient(
        service.address.ip, service.address.port
    )
    plain = client.get('/v1/fleet').read()
    response = client.get('/v1/fleet', {'Accept-Encoding': 'gzip'})
    compressed = response.read()
    client.close()
    assert response.get('content-encoding') == 'gzip'
    assert len(compressed) < len(plain) / 2
    assert gzip.decompress(compressed) == plain
