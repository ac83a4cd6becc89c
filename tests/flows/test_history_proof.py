"""Tests which histories of the store show every server with open flows.

Each counterexample is a history in which a live server may be missing.
"""

import attrs
import flow_support
import pytest

from kingcupport.flows import fleet_source
from kingcupport.flows import history_proof
from kingcupport.flows import store_revision

SERVERS = 8
SERVICES = frozenset({'gate', 'audio'})
OLD_BOOT = 1_000
NEW_BOOT = 60_000


class HistoryBuilder:
    """A history in which servers write in rounds, each once a round.

    Attributes:
        history: FleetHistory.
        listed: FlowServer by name, the entries that the store has.
    """

    def __init__(self):
        self.history = fleet_source.FleetHistory(0, 0)
        self.listed = {}
        self._sequences = {}

    def write(self, number, *, boot=OLD_BOOT, name=None, skipped=0, **fields):
        self.history.revision += 1
        name = name or f'gate-{number}-{boot}'
        sequence = self._sequences.get(name, 100) + 1 + skipped
        self._sequences[name] = sequence
        server = flow_support.make_server(
            number,
            name=name,
            boot_utc_ms=boot,
            sequence=sequence,
            revision=self.history.revision,
            **fields,
        )
        self.history.servers.append(server)
        self.listed[name] = server

    def write_rounds(self, rounds, numbers=range(SERVERS), **fields):
        for _ in range(rounds):
            for number in numbers:
                self.write(number, **fields)

    def remove(self, name):
        self.history.revision += 1
        self.history.removed.append((name, self.history.revision))
        self.listed.pop(name, None)

    def restart(self, numbers=range(SERVERS)):
        self.write_rounds(1, numbers, boot=NEW_BOOT)

    def examine(self):
        return history_proof.examine(
            self.history, list(self.listed.values()), SERVICES
        )


@pytest.fixture
def builder():
    return HistoryBuilder()


def test_restart_of_the_fleet_is_proven(builder):
    builder.write_rounds(9)
    builder.restart()
    proof = builder.examine()
    assert proof.is_proven
    assert proof.ips == {f'10.0.0.{number}' for number in range(SERVERS)}
    assert (proof.witnesses, proof.restarted) == (SERVERS, SERVERS)


def test_addresses_of_expired_entries_are_included(builder):
    builder.write_rounds(9)
    for name in list(builder.listed):
        builder.remove(name)
    builder.restart(range(3))
    proof = builder.examine()
    assert proof.is_proven
    assert len(proof.ips) == SERVERS


def test_source_without_history_proves_nothing():
    proof = history_proof.examine(None, [], SERVICES)
    assert not proof.is_proven
    assert proof.reason == 'no history'


def test_history_of_eight_writes_is_too_short(builder):
    """After an outage of the store, four of them may be younger than it.

    A server that had skipped two writes then wrote last before the first.
    """
    builder.write_rounds(8)
    builder.restart()
    assert builder.examine().reason == 'too short'


def test_single_server_that_writes_often_does_not_make_it_long(builder):
    """A change of state is written at once, another writer at any time."""
    builder.write_rounds(4)
    builder.write_rounds(9, [0, 1, 2])
    builder.restart()
    assert builder.examine().reason == 'too short'


def test_fleet_that_has_not_restarted_is_not_proven(builder):
    """A server that the store has refused for longer is not in the history."""
    builder.write_rounds(12)
    proof = builder.examine()
    assert proof.reason == 'restart not seen'
    assert proof.is_early


@pytest.mark.parametrize('survivor', range(3))
def test_restart_that_a_server_survived_is_not_proven(builder, survivor):
    """Others may have survived that the store has refused for longer."""
    builder.write_rounds(10)
    builder.restart()
    builder.write(survivor)
    builder.write_rounds(1, boot=NEW_BOOT)
    assert builder.examine().reason == 'restart not seen'


def test_added_servers_are_no_restart(builder):
    builder.write_rounds(10)
    builder.write_rounds(1, range(SERVERS, 2 * SERVERS), boot=NEW_BOOT)
    assert builder.examine().reason == 'restart not seen'


def test_restart_with_few_registrations_is_not_proven_yet(builder):
    builder.write_rounds(10)
    builder.restart([0])
    assert builder.examine().is_early


def test_skipped_sequence_number_is_refused(builder):
    """A write was refused, or a restore of the store has lost it."""
    builder.write_rounds(9)
    builder.write(0, skipped=1)
    builder.restart()
    assert builder.examine().reason == 'writes missing'


def test_removed_server_without_an_address_is_refused(builder):
    """Its last write is older than the history: it may have been cut off."""
    builder.write_rounds(9)
    builder.remove('gate-99')
    builder.restart()
    assert builder.examine().reason == 'address of a server not known'


def test_invalid_entry_without_an_address_is_refused(builder):
    """It may hide the entry of a server that has not written since."""
    builder.write_rounds(9)
    builder.history.invalid.append(('gate-99', 40))
    builder.restart()
    assert builder.examine().reason == 'address of a server not known'


def test_invalid_entry_over_that_of_a_server_with_an_address_is_allowed(
    builder,
):
    builder.write_rounds(9)
    builder.history.invalid.append((f'gate-1-{OLD_BOOT}', 40))
    builder.restart()
    assert builder.examine().is_proven


def test_entry_that_returned_after_its_expiry_is_refused(builder):
    """A store that refused one server may still refuse others."""
    builder.write_rounds(9, range(1, SERVERS))
    builder.remove(f'gate-1-{OLD_BOOT}')
    builder.write(1)
    builder.restart()
    assert builder.examine().reason == 'expired entry returned'


def test_listed_server_that_the_history_lacks_is_refused(builder):
    """Some changes are missing in the history."""
    builder.write_rounds(9)
    builder.restart()
    builder.listed['gate-50'] = flow_support.make_server(50)
    assert builder.examine().reason == 'listed server not in history'


def test_history_that_ends_before_a_listed_write_is_refused(builder):
    builder.write_rounds(9)
    builder.restart()
    name, server = next(iter(builder.listed.items()))
    builder.listed[name] = attrs.evolve(server, sequence=server.sequence + 1)
    assert builder.examine().reason == 'listed server not in history'


def test_entries_of_unknown_services_count_for_nothing(builder):
    """Another writer's entries are no witnesses and name no servers."""
    builder.write_rounds(12, service='printing')
    builder.write_rounds(1, boot=NEW_BOOT)
    assert builder.examine().reason == 'too short'


def test_history_begins_twelve_writes_of_each_server_before():
    revision = store_revision.qualify(2, 1_000)
    first = history_proof.first_revision(revision, 63)
    assert first == store_revision.qualify(2, 1_000 - 12 * 63)
    assert history_proof.first_revision(revision, 100) == (
        store_revision.qualify(2, 0)
    )
