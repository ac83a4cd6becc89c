"""A balancer's view of the routes and backend servers.

Revisions in this module are qualified by the era of the store.
"""

import collections

import attrs
import msgpack
import xxhash

from kingcupport.flows import evacuations as evacuations_module
from kingcupport.flows import fleet_source
from kingcupport.flows import flow_route
from kingcupport.flows import flow_server
from kingcupport.flows import store_revision
from kingcupport.flows import view_confirmation

# Removals that are kept to compute differences for peers; the planned fleet
# has 910 changes a day.
MAX_TOMBSTONES = 1024


@attrs.frozen
class _Tombstone:
    revision: int
    writing_order: tuple


@attrs.define
class _PendingRemoval:
    revision: int
    deadline_ms: float


class FleetView:
    """The newest known routes and servers, from the store or from peers.

    Every entry carries the revision at which the store accepted it, and an
    older revision never replaces a newer one. Neither a delayed read nor a
    peer that lags behind can therefore revert an entry.

    A store that was restored from a copy starts a new era. Until its writers
    have written again what it lost, an entry of the copy does not replace one
    that its server wrote later, and missing servers are kept. Afterwards the
    view settles: it takes the entries of one full read as they are.

    Args:
        clock: Clock.
        server_expiry_ms: Time after which the store drops the entry of a
            silent server.

    Attributes:
        era: Newest known era of the store.
        configuration: FlowConfiguration in force.
        servers: FlowServer by name.
        evacuations: Evacuations.
        content_revision: Highest revision of a change to the servers or the
            evacuations.
        read_revision: Revision of the store up to which the view is complete.
        confirmation: ViewConfirmation.
        settle_due_ms: When the view has to be read in full to settle after a
            restore, on the monotonic clock; None if it is settled.
    """

    def __init__(self, clock, server_expiry_ms):
        self._clock = clock
        self._server_expiry_ms = server_expiry_ms
        self._settling_ms = view_confirmation.SETTLING_MARGIN_MS + max(
            view_confirmation.REREGISTRATION_GRACE_MS, server_expiry_ms
        )
        self.era = 0
        self.settle_due_ms = None
        self.configuration = flow_route.EMPTY_CONFIGURATION
        self.servers = {}
        self.evacuations = evacuations_module.make_evacuations(self._notify)
        self.content_revision = 0
        self.read_revision = 0
        self.confirmation = view_confirmation.make_view_confirmation(clock)
        # Made when the first peer asks for the configuration.
        self._encoded = None
        # Made when it is asked for after a change.
        self._digest = None
        self._tombstones = collections.OrderedDict()
        self._oldest_tombstone_revision = 0
        self._pending_removals = {}
        self._rejected_names = set()
        self._grace_end_ms = 0.0
        self._callbacks = []

    def on_change(self, callback):
        """Register a callback for each accepted change.

        Args:
            callback: Called as ``callback(kind, fields)`` with the kind of the
                change and a dict of its fields.
        """
        self._callbacks.append(callback)

    @property
    def is_populated(self):
        """Whether a configuration and at least one server are known."""
        return self.configuration.version > 0 and bool(self.servers)

    @property
    def digest(self):
        """Hash of the servers, of removals put off and of the evacuations.

        Two views of the same content revision may list other servers: a view
        that started later lacks those whose entries were missing then.
        """
        if self._digest is None:
            rows = [
                flow_server.contents_to_plain(server)
                for _, server in sorted(self.servers.items())
            ]
            contents = [rows, sorted(self._pending_removals)]
            if self.evacuations.active:
                # Left out otherwise: versions without evacuations compare
                # their digests with this one.
                contents.append(sorted(self.evacuations.active))
            self._digest = xxhash.xxh3_64_intdigest(msgpack.packb(contents))
        return self._digest

    def apply_update(self, update, started_ms):
        """Merge the result of a read from the source.

        Args:
            update: FleetUpdate.
            started_ms: When the read started, on the monotonic clock.

        Returns:
            Whether the configuration or a server changed; a new revision of
            an otherwise equal entry is no change.

        Raises:
            FormerEraError: The read is from before a restore of the source.
        """
        era = store_revision.era_of(update.revision)
        if era < self.era:
            raise fleet_source.FormerEraError(
                f'read is of era {era}, the view of {self.era}',
                step='apply_update',
                peer=None,
            )
        before = (self.configuration.version, self.content_revision)
        self._enter_era(era)
        self._detect_outage()
        if update.is_full_read:
            self._settle_if_due(started_ms)
        # First, so that no new server is used before it is known that its
        # data centre is evacuated.
        self.evacuations.apply(update, is_settled=self.settle_due_ms is None)
        self._adopt_evacuation_revision()
        if update.configuration is not None:
            self.apply_configuration(update.configuration)
        for server in update.servers:
            # The entry is the current one at the revision of a full read.
            self._put(
                server,
                max(server.revision, update.revision)
                if update.is_full_read
                else server.revision,
            )
        for name, revision in update.removed:
            self._schedule_removal(name, revision)
        self._reject(update)
        if update.is_full_read:
            self._remove_missing(update)
        self._apply_due_removals()
        self._digest = None
        self.confirm(started_ms, update.revision)
        return before != (self.configuration.version, self.content_revision)

    def apply_configuration(self, configuration):
        """Put a configuration into force if it is newer.

        Args:
            configuration: FlowConfiguration from any source.
        """
        previous = self.configuration
        if configuration.version <= previous.version:
            self._complete_cold_limits(configuration)
            return
        kept_limits = {
            name: previous.cold_limits[name]
            for name, _ in configuration.rejected_cold_limits
            if name in previous.cold_limits
        }
        self.configuration = attrs.evolve(
            configuration,
            cold_limits={**configuration.cold_limits, **kept_limits},
        )
        for name, reason in configuration.rejected_cold_limits:
            self._notify('cold_limit_rejected', service=name, reason=reason)
        self._encoded = None
        self._notify(
            'configuration_accepted',
            version=configuration.version,
            previous_version=previous.version,
            added_routes=len(configuration.routes.keys() - previous.routes),
            removed_routes=len(previous.routes.keys() - configuration.routes),
        )

    def _complete_cold_limits(self, configuration):
        # A peer of a former version passes a configuration on without limits.
        if (
            configuration.version == self.configuration.version
            and configuration.cold_limits
            and not self.configuration.cold_limits
        ):
            self.configuration = attrs.evolve(
                self.configuration, cold_limits=configuration.cold_limits
            )
            self._encoded = None

    def apply_difference(self, plain):
        """Merge the result of a peer's ``difference_since``.

        Args:
            plain: Nested lists that the peer returned.

        Raises:
            ValueError: The lists have another shape.
            TypeError: The lists have another shape.
        """
        configuration, servers, removed, revision = plain
        self._enter_era(store_revision.era_of(revision))
        for row in removed:
            if type(row[0]) is bytes:
                self.evacuations.apply_row(
                    row, is_settled=self.settle_due_ms is None
                )
        self._adopt_evacuation_revision()
        if configuration:
            self.apply_configuration(
                flow_route.decode_configuration(configuration)
            )
        for item in servers:
            server = flow_server.server_from_plain(item)
            self._put(server, server.revision)
        for name, removed_revision in removed:
            if type(name) is not bytes:
                self._remove(name, removed_revision)
        self._digest = None
        self.content_revision = max(self.content_revision, revision)

    def difference_since(self, version, revision):
        """Return the changes that a peer lacks, as nested lists for msgpack.

        Args:
            version: Version of the peer's configuration.
            revision: Content revision of the peer's view.
        """
        is_whole = revision < self._oldest_tombstone_revision
        servers = [
            flow_server.server_to_plain(server)
            for server in self.servers.values()
            if is_whole or server.revision > revision
        ]
        removed = [
            [name, tombstone.revision]
            for name, tombstone in self._tombstones.items()
            if tombstone.revision > revision
        ]
        # All of them: a view may have taken its revision over from a peer that
        # does not know evacuations.
        removed += self.evacuations.to_rows()
        configuration = None
        if self.configuration.version > version:
            configuration = self._encoded_configuration()
        return [configuration, servers, removed, self.content_revision]

    def _encoded_configuration(self):
        if self._encoded is None:
            self._encoded = flow_route.encode_configuration(self.configuration)
        return self._encoded

    def confirm(self, confirmed_ms, read_revision, *, is_complete=False):
        """Record that the view matched the store.

        Args:
            confirmed_ms: When it matched, on the monotonic clock.
            read_revision: Revision of the store at that time.
            is_complete: Whether a peer has found that the store had the
                entries of all servers that may hold flows.
        """
        self._enter_era(store_revision.era_of(read_revision))
        self.read_revision = max(self.read_revision, read_revision)
        self.confirmation.confirm(
            confirmed_ms,
            is_complete=is_complete,
            is_settled=self.settle_due_ms is None,
        )

    def _enter_era(self, era):
        if era <= self.era:
            return
        previous_era, self.era = self.era, era
        if not (
            self.servers
            or self._tombstones
            or self.evacuations
            or self.configuration.routes
        ):
            return
        now_ms = self._clock.monotonic_ms()
        self._grace_end_ms = now_ms + view_confirmation.REREGISTRATION_GRACE_MS
        self.settle_due_ms = now_ms + self._settling_ms
        self._notify('store_restored', era=era, previous_era=previous_era)

    def _settle_if_due(self, started_ms):
        if self.settle_due_ms is not None and started_ms >= self.settle_due_ms:
            self.settle_due_ms = None
            self._notify('view_settled', era=self.era)

    def _detect_outage(self):
        now_ms = self._clock.monotonic_ms()
        if self.confirmation.is_after_outage(now_ms):
            self._grace_end_ms = (
                now_ms + view_confirmation.REREGISTRATION_GRACE_MS
            )

    def _put(self, server, revision):
        known = self.servers.get(server.name)
        last = known or self._tombstones.get(server.name)
        if last is not None and (
            revision <= last.revision
            or self._is_outdated_copy(server, revision, last)
        ):
            return
        self._pending_removals.pop(server.name, None)
        if known is not None and not server.differs_from(known):
            # A heartbeat only. The stored revision is kept, because
            # differences for peers are computed from it.
            return
        self.servers[server.name] = attrs.evolve(server, revision=revision)
        self._tombstones.pop(server.name, None)
        self.content_revision = max(self.content_revision, revision)
        self._notify(
            'server_changed',
            server=server.name,
            service=server.service,
            ip=server.ip,
            draining=server.is_draining,
            boot_utc_ms=server.boot_utc_ms,
            revision=store_revision.to_text(revision),
        )

    def _is_outdated_copy(self, server, revision, last):
        if self.settle_due_ms is None or store_revision.era_of(
            revision
        ) == store_revision.era_of(last.revision):
            return False
        # A server that has left writes nothing again, so its last entry is as
        # outdated as the ones before.
        is_gone = isinstance(last, _Tombstone)
        return server.writing_order < last.writing_order or (
            is_gone and server.writing_order == last.writing_order
        )

    def _reject(self, update):
        """Remove the servers whose entries are not valid.

        An invalid entry may hide that of a server until it writes again.
        """
        written = {server.name: server.revision for server in update.servers}
        names = set()
        for name, revision in update.invalid:
            if written.get(name, 0) <= revision:
                self._remove(name, revision)
                names.add(name)
        for name in names - self._rejected_names:
            self.confirmation.on_entry_rejected(self._server_expiry_ms)
            self._notify('server_rejected', server=name)
        if update.is_full_read:
            self._rejected_names = names
        else:
            self._rejected_names |= names
            self._rejected_names -= {s.name for s in update.servers} - names
            self._rejected_names -= {name for name, _ in update.removed}

    def _remove_missing(self, update):
        present = {server.name for server in update.servers}
        present.update(name for name, _ in update.invalid)
        missing = [
            server.name
            for server in self.servers.values()
            if server.name not in present
            and server.revision <= update.revision
        ]
        for name in missing:
            self._schedule_removal(name, update.revision)

    def _schedule_removal(self, name, revision):
        server = self.servers.get(name)
        if server is None:
            self._raise_tombstone(name, revision)
            return
        if revision <= server.revision:
            return
        now_ms = self._clock.monotonic_ms()
        if server.is_draining or now_ms >= self._grace_end_ms:
            self._remove(name, revision)
            return
        self._pending_removals.setdefault(
            name, _PendingRemoval(revision, self._grace_end_ms)
        )

    def _apply_due_removals(self):
        now_ms = self._clock.monotonic_ms()
        due = [
            (name, removal.revision)
            for name, removal in self._pending_removals.items()
            if now_ms >= removal.deadline_ms
        ]
        for name, revision in due:
            self._remove(name, revision)

    def _remove(self, name, revision):
        self._pending_removals.pop(name, None)
        server = self.servers.get(name)
        if server is None:
            self._raise_tombstone(name, revision)
            return
        if revision <= server.revision:
            return
        del self.servers[name]
        if not server.is_draining:
            self.confirmation.on_server_lost()
        self._tombstones[name] = _Tombstone(revision, server.writing_order)
        if len(self._tombstones) > MAX_TOMBSTONES:
            _, oldest = self._tombstones.popitem(last=False)
            self._oldest_tombstone_revision = max(
                oldest.revision, self._oldest_tombstone_revision
            )
        self.content_revision = max(self.content_revision, revision)
        self._notify(
            'server_removed',
            server=name,
            service=server.service,
            revision=store_revision.to_text(revision),
        )

    def _raise_tombstone(self, name, revision):
        # A peer that started after a restore may still have the server from
        # the copy, and learns of its removal from the newer revision.
        tombstone = self._tombstones.get(name)
        if tombstone is None or revision <= tombstone.revision:
            return
        self._tombstones[name] = attrs.evolve(tombstone, revision=revision)
        self._tombstones.move_to_end(name)
        self.content_revision = max(self.content_revision, revision)

    def _adopt_evacuation_revision(self):
        self._digest = None
        self.content_revision = max(
            self.content_revision, self.evacuations.content_revision
        )

    def _notify(self, kind, **fields):
        for callback in self._callbacks:
            callback(kind, fields)


def make_fleet_view(clock, server_expiry_ms=3_000):
    """Return an empty view.

    Args:
        clock: Clock.
        server_expiry_ms: Time after which the store drops the entry of a
            silent server.
    """
    return FleetView(clock, server_expiry_ms)
