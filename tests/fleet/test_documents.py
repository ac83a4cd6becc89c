"""Guards against invalid documents that are accepted and fail on use."""

import pytest

from kingcupport.fleet import documents
from kingcupport.fleet import release_note

_BALANCER = {
    'name': 'balancer-1',
    'address': '192.0.2.20:7000',
    'data_centre': 'dakar-plateau',
}
_SERVICE = {'name': 'gate', 'address': '192.0.2.10:443'}


@pytest.mark.parametrize(
    ('kind', 'entry', 'reason'),
    [
        ('services', _SERVICE | {'retention_ms': 2**63}, 'not from 0 to'),
        ('services', _SERVICE | {'retention_ms': -1}, 'not from 0 to'),
        ('balancers', _BALANCER | {'name': ''}, 'name is empty'),
    ],
)
def test_entry_out_of_range_is_refused(kind, entry, reason):
    with pytest.raises(documents.DocumentError, match=reason):
        documents.entry_from_plain(kind, entry)


def test_revision_that_codecs_cannot_encode_is_refused():
    plain = {'revision': 2**63, 'base': 0, 'base_digest': 'd'}
    with pytest.raises(
        release_note.ReleaseNoteError, match='from 0 to 9223372036854775807'
    ):
        release_note.note_from_dict(plain)
    fleet = {'revision': 2**63, 'digest': 'd'}
    with pytest.raises(documents.DocumentError, match='no revision'):
        documents.fleet_from_dict(fleet)


def test_fleet_round_trip():
    entries = {
        'services': [['gate', '192.0.2.10:443', 1, 2, 3]],
        'balancers': [list(_BALANCER.values())],
        'backend_servers': [],
    }
    plain = {'revision': 3, 'digest': 'd', **entries}
    fleet = documents.fleet_from_dict(plain)
    assert documents.fleet_to_dict(fleet) == plain
