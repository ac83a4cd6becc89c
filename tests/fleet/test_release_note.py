"""Tests parsing and application of release notes.

Guards against partly applied notes, unclear error messages and documents that
raise other exceptions than KingcupportError.
"""

import copy

import control_support as support
import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from kingcupport.common import address
from kingcupport.common import errors
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note

VALID_TEXT = f"""revision = 1
base = 0
base_digest = "{fleet_module.EMPTY_DIGEST}"

[[added.services]]
name = "gate"
address = "198.51.100.1:80"

[[added.backend_servers]]
name = "gate-1"
service = "gate"
agent_address = "10.0.0.1:9000"
server_address = "10.0.0.1:8000"
data_centre = "dakar"
slots = 1
"""

# Mistakes of an operator, each with the complete error message.
INVALID_TEXTS = [
    (
        ('"10.0.0.1:9000"', '"host-1:9000"'),
        (
            'bad_release_note: n.toml line 12: added.backend_servers '
            "'gate-1': agent_address: 'host-1:9000' does not start with an "
            'IP address (step=parse_note)'
        ),
    ),
    (
        ('slots = 1', 'slot_count = 1'),
        (
            'bad_release_note: n.toml line 15: added.backend_servers '
            "'gate-1': unknown field 'slot_count' (step=parse_note)"
        ),
    ),
    (
        ('revision = 1', 'revision = "1"'),
        (
            "bad_release_note: n.toml line 1: revision is '1'; allowed: an "
            'integer from 0 to 9223372036854775807 (step=parse_note)'
        ),
    ),
    (
        ('[[added.services]]', '[[added.service]]'),
        (
            "bad_release_note: n.toml line 5: unknown key 'added.service'; "
            'allowed: services, balancers, backend_servers (step=parse_note)'
        ),
    ),
    (
        ('base = 0', 'base = '),
        (
            'bad_release_note: n.toml: is not TOML: Invalid value (at line 2, '
            'column 8) (step=parse_note)'
        ),
    ),
]

INVALID_ENTRIES = [
    (
        {'service': 'audio'},
        "backend server 'gate-1' names the unknown service 'audio'",
    ),
    (
        {'slots': 0},
        (
            "backend server 'gate-1' needs at least one slot and a weight "
            'of at least 1'
        ),
    ),
    (
        {'server_address': address.Address('10.0.0.1', 9000)},
        "'gate-1' and 'gate-1' share the address 10.0.0.1:9000",
    ),
]


@pytest.mark.parametrize(('change', 'message'), INVALID_TEXTS)
def test_bad_text_gives_one_line_with_the_place(change, message):
    text = VALID_TEXT.replace(*change)
    assert text != VALID_TEXT
    with pytest.raises(release_note.ReleaseNoteError) as caught:
        release_note.parse_release_note(text, 'n.toml')
    assert str(caught.value) == message


@pytest.mark.parametrize(('change', 'reason'), INVALID_ENTRIES)
def test_contradictory_note_leaves_the_fleet_alone(change, reason):
    fleet = fleet_module.Fleet()
    before = copy.deepcopy(fleet)
    plain = release_note.note_to_dict(
        release_note.parse_release_note(VALID_TEXT, 'n.toml')
    )
    (entry,) = plain['added']['backend_servers']
    entry.update(
        {k: str(v) if k.endswith('address') else v for k, v in change.items()}
    )
    note = release_note.note_from_dict(plain)
    with pytest.raises(release_note.ReleaseNoteError) as caught:
        release_note.apply_release_note(fleet, note)
    assert caught.value.reason == reason
    assert fleet == before


def test_digest_depends_on_every_note():
    # Guards against two histories with the same digest.
    note = release_note.parse_release_note(VALID_TEXT, 'n.toml')
    first = release_note.apply_release_note(fleet_module.Fleet(), note)
    second = release_note.apply_release_note(
        first, support.make_note(first, 3)
    )
    other = release_note.apply_release_note(
        first,
        support.make_note(first, 3, added=[support.make_service('a', 9)]),
    )
    assert len({first.digest, second.digest, other.digest}) == 3


def test_plain_forms_round_trip():
    note = release_note.parse_release_note(VALID_TEXT, 'n.toml')
    plain = release_note.note_to_dict(note)
    assert release_note.note_from_dict(plain) == note
    fleet = release_note.apply_release_note(fleet_module.Fleet(), note)
    assert documents.fleet_from_dict(documents.fleet_to_dict(fleet)) == fleet


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        (lambda row: row, 'backend_servers names an entry twice'),
        (
            lambda row: ['gate-2', *row[1:]],
            "'gate-2' and 'gate-1' share the address 10.0.0.1:9000",
        ),
    ],
)
def test_contradictory_fleet_is_refused(change, reason):
    # Guards against a fleet that no release note can produce.
    plain = copy.deepcopy(_PLAIN_FLEET)
    rows = plain['backend_servers']
    rows.append(change(rows[0]))
    with pytest.raises(documents.DocumentError) as caught:
        documents.fleet_from_dict(plain)
    assert caught.value.reason == reason


SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([2**63, 2**64, -1, 0])
    | strategies.floats()
    | strategies.text(strategies.characters(exclude_categories=()))
    | strategies.sampled_from(
        ['10.0.0.1:9000', '\ud800', 'gate', '', 'x' * 99]
    )
    | strategies.binary()
)
KEYS = strategies.sampled_from(
    [
        'revision',
        'base',
        'base_digest',
        'digest',
        'added',
        'changed',
        'withdrawn',
        *support.KINDS,
        'name',
        'address',
        'service',
        'slots',
    ]
) | strategies.text(max_size=3)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(KEYS, inner, max_size=4)
    ),
    max_leaves=12,
)
FUZZ_SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=400, deadline=None
)


@strategies.composite
def _with_one_value_replaced(draw, plain):
    """Return a valid plain document with one value replaced."""
    plain = copy.deepcopy(plain)
    place = plain
    while True:
        keys = list(place) if isinstance(place, dict) else range(len(place))
        key = draw(strategies.sampled_from(list(keys)))
        inner = place[key]
        if (
            not isinstance(inner, dict | list)
            or not inner
            or draw(strategies.booleans())
        ):
            place[key] = draw(VALUES)
            return plain
        place = inner


def _expect_only_our_errors(read, write, value):
    try:
        result = read(value)
    except errors.KingcupportError as error:
        assert '\n' not in str(error)
        return
    # An accepted value must be usable, as it is hashed and sent to peers.
    write(result)


_PLAIN_NOTE = release_note.note_to_dict(
    release_note.parse_release_note(VALID_TEXT, 'n.toml')
)
_PLAIN_FLEET = documents.fleet_to_dict(
    release_note.apply_release_note(
        fleet_module.Fleet(),
        release_note.parse_release_note(VALID_TEXT, 'n.toml'),
    )
)


@FUZZ_SETTINGS
@hypothesis.given(VALUES | _with_one_value_replaced(_PLAIN_NOTE))
def test_any_plain_note_is_read_or_refused(value):
    def write(note):
        release_note.note_digest(note)
        msgpack.packb(release_note.note_to_dict(note))

    _expect_only_our_errors(release_note.note_from_dict, write, value)


@FUZZ_SETTINGS
@hypothesis.given(VALUES | _with_one_value_replaced(_PLAIN_FLEET))
def test_any_plain_fleet_is_read_or_refused(value):
    def write(fleet):
        msgpack.packb(documents.fleet_to_dict(fleet))

    _expect_only_our_errors(documents.fleet_from_dict, write, value)


@FUZZ_SETTINGS
@hypothesis.given(
    strategies.text(max_size=50)
    | strategies.sampled_from(
        ['a=' + '[' * 5000, 'a=' + '9' * 5000, 'revision=0x' + 'f' * 9999]
    )
)
def test_any_text_is_parsed_or_refused(text):
    _expect_only_our_errors(
        lambda t: release_note.parse_release_note(t, 'n.toml'),
        release_note.note_digest,
        text,
    )
