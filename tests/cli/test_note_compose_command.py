"""Guards against composed documents that processes would refuse."""

import json

import cli_support

from kingcupport.cli import publication
from kingcupport.common import address
from kingcupport.fleet import backend_server
from kingcupport.fleet import balancer
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.fleet import service

_NOTE_2 = """\
revision = 2
base = 1
base_digest = "{digest}"

[[changed.backend_servers]]
name = "gate-1"
service = "gate"
agent_address = "192.0.2.30:7000"
server_address = "192.0.2.30:8080"
data_centre = "dakar-plateau"
slots = 2

[withdrawn]
balancers = ["balancer-1"]
"""


def _compose(tmp_path, text, *options):
    path = tmp_path / 'note.toml'
    path.write_text(text)
    out_dir = tmp_path / 'out'
    return cli_support.run(
        *('note', 'compose', path, '--out-dir', out_dir, '--json', *options)
    )


def test_composed_note_leads_to_the_composed_fleet(tmp_path):
    first = _compose(tmp_path, cli_support.NOTE_1)
    assert first.exit_code == 0
    fleet_path = first.document['fleet']
    text = _NOTE_2.format(digest=first.document['digest'])
    second = _compose(tmp_path, text, '--fleet', fleet_path)
    assert second.exit_code == 0

    with open(fleet_path) as file:
        fleet = documents.fleet_from_dict(json.load(file))
    with open(second.document['note']) as file:
        note = release_note.note_from_dict(json.load(file))
    with open(second.document['fleet']) as file:
        published = documents.fleet_from_dict(json.load(file))
    assert release_note.apply_release_note(fleet, note) == published
    assert published.digest == second.document['digest']
    assert published.backend_servers['gate-1'].slots == 2
    assert published.balancers == {}


def test_next_base_is_printed(tmp_path):
    path = tmp_path / 'note.toml'
    path.write_text(cli_support.NOTE_1)
    result = cli_support.run('note', 'compose', path, '--out-dir', tmp_path)
    fleet = json.loads((tmp_path / 'fleet-1.json').read_text())
    assert f'base = 1, base_digest = "{fleet["digest"]}"' in result.output


def test_published_revision_is_never_replaced(tmp_path):
    _compose(tmp_path, cli_support.NOTE_1)
    written = {p: p.read_bytes() for p in (tmp_path / 'out').iterdir()}
    assert _compose(tmp_path, cli_support.NOTE_1).exit_code == 0
    other = cli_support.NOTE_1.replace('"gate-1"', '"gate-2"')
    result = _compose(tmp_path, other)
    cli_support.assert_error_line(result, 2, 'another content')
    assert {p: p.read_bytes() for p in (tmp_path / 'out').iterdir()} == written


def test_unwritable_directory(tmp_path):
    (tmp_path / 'out').write_text('a file')
    result = _compose(tmp_path, cli_support.NOTE_1)
    cli_support.assert_error_line(result, 2, 'out')


def test_missing_directory_option(tmp_path):
    path = tmp_path / 'note.toml'
    path.write_text(cli_support.NOTE_1)
    result = cli_support.run('note', 'compose', path)
    cli_support.assert_error_line(result, 2, '--out-dir')


def _make_large_fleet(hosts):
    services = [
        service.Service(
            f'agence-service-{i:03}', address.Address(f'10.1.{i // 250}.9', i)
        )
        for i in range(1, 521)
    ]
    balancers = [
        balancer.Balancer(
            f'dakar-plateau-balancer-{i:03}',
            address.Address(f'10.2.{i // 250}.{i % 250}', 7000),
            'dakar-plateau',
        )
        for i in range(640)
    ]
    backend_servers = [
        backend_server.BackendServer(
            f'dakar-plateau-host-{i:04}',
            services[i % 520].name,
            address.Address(f'10.100.{i // 250}.{i % 250}', 7000),
            address.Address(f'10.100.{i // 250}.{i % 250}', 8080),
            'dakar-plateau',
            added_revision=100_000 + i,
        )
        for i in range(hosts)
    ]
    return fleet_module.Fleet(
        100_000,
        'd' * 32,
        {s.name: s for s in services},
        {b.name: b for b in balancers},
        {b.name: b for b in backend_servers},
    )


def test_fleet_at_design_size_fits_the_configuration_service():
    """Checks the limit of design section 8: under 1 MB at 5,600 hosts."""
    note = release_note.note_from_dict(
        {'revision': 100_000, 'base': 99_999, 'base_digest': 'd' * 32}
    )
    composed = publication.make_publication(note, _make_large_fleet(5600))
    size_bytes = len(composed.fleet_text.encode())
    assert size_bytes < publication.MAX_DOCUMENT_BYTES


def test_oversized_fleet_is_refused(tmp_path):
    fleet_path = tmp_path / 'fleet.json'
    plain = documents.fleet_to_dict(_make_large_fleet(9000))
    fleet_path.write_text(json.dumps(plain))
    note = (
        f'revision = 100001\nbase = 100000\nbase_digest = "{"d" * 32}"\n'
        '[withdrawn]\nbackend_servers = ["dakar-plateau-host-0001"]\n'
    )
    result = _compose(tmp_path, note, '--fleet', fleet_path)
    cli_support.assert_error_line(result, 1, 'exceeds the 1000000 bytes')
    assert not (tmp_path / 'out').exists()
