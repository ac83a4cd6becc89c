"""Assembles the control plane of a process."""

import collections

from kingcupport.control import configuration_poller
from kingcupport.control import configuration_reader as reader_module
from kingcupport.control import control_handlers
from kingcupport.control import difference_puller
from kingcupport.control import fleet_registry
from kingcupport.control import peer_pool
from kingcupport.control import peer_server
from kingcupport.control import revision_gossip


class ControlPlane:
    """The control plane of one process; see ``make_control_plane``.

    Attributes:
        registry: FleetRegistry.
        pool: PeerPool, for calls by name and by address.
        server: PeerServer.
        poller: ConfigurationPoller.
        gossip: RevisionGossip; the program passes received
            RevisionNotice datagrams to its ``on_notice``.
        counts: collections.Counter of events by name.
    """

    def __init__(self, registry, pool, server, poller, gossip, counts):
        self.registry = registry
        self.pool = pool
        self.server = server
        self.poller = poller
        self.gossip = gossip
        self.counts = counts

    @property
    def ready(self):
        """Whether synchronisation with service and peers has completed."""
        return self.gossip.ready

    def start(self):
        """Listen for peers and start to fetch and announce revisions.

        Raises:
            OSError: The address cannot be bound.
        """
        self.server.start()
        self.gossip.start()

    def stop(self):
        """Stop the tasks and close all connections."""
        self.gossip.stop()
        self.server.stop()
        self.pool.close()


def make_control_plane(
    *,
    name,
    address,
    clock,
    rng,
    audit,
    send_datagram,
    reader=None,
    seeds=(),
    handlers=None,
    state=None,
    figures=dict,
    rate_budget_per_s=configuration_poller.RATE_BUDGET_PER_S,
    registry=None,
):
    """Return the ControlPlane of one process.

    Args:
        name: Name of the process in the fleet.
        address: Address of its UDP socket; peers connect to the same port.
        clock: Clock.
        rng: random.Random.
        audit: AuditTrail.
        send_datagram: ``send_datagram(data, address)`` on the UDP socket.
        reader: ConfigurationReader, the Address of the configuration
            service, or None.
        seeds: Addresses of processes that are contacted at startup.
        handlers: Further ``handler(message, peer) -> reply`` functions by
            message class.
        state: Returns ``starting``, ``ready`` or ``draining``; by default
            derived from ``ready``.
        figures: Returns integer gauges by name for status replies.
        rate_budget_per_s: Configuration reads per second of all processes of
            the fleet together.
        registry: Existing FleetRegistry; None creates one.
    """
    counts = collections.Counter()
    registry = registry or fleet_registry.FleetRegistry(audit)
    pool = peer_pool.PeerPool(registry, clock, counts)
    puller = difference_puller.DifferencePuller(
        registry, pool, clock, rng, name, address, counts
    )
    poller = configuration_poller.ConfigurationPoller(
        registry, _make_reader(reader), rng, counts, rate_budget_per_s
    )
    gossip = revision_gossip.RevisionGossip(
        registry,
        puller,
        poller,
        pool,
        clock,
        rng,
        name=name,
        own_address=address,
        send_datagram=send_datagram,
        counts=counts,
        seeds=seeds,
    )
    own_handlers = control_handlers.ControlHandlers(
        name,
        registry,
        audit,
        counts,
        state or (lambda: 'ready' if gossip.ready else 'starting'),
        figures,
    )
    server = peer_server.PeerServer(
        address,
        {**own_handlers.by_message_class(), **(handlers or {})},
        name=name,
        read_revision=lambda: registry.fleet.revision,
        counts=counts,
    )
    pool.add_revision_callback(gossip.on_revision_seen)
    server.add_revision_callback(_make_revision_callback(registry, gossip))
    return ControlPlane(registry, pool, server, poller, gossip, counts)


def _make_reader(reader):
    if reader is None or isinstance(reader, reader_module.ConfigurationReader):
        return reader
    return reader_module.make_http_configuration_reader(reader)


def _make_revision_callback(registry, gossip):
    def on_revision(revision, sender):
        address = registry.process_address(sender)
        if address is not None:
            gossip.on_revision_seen(revision, address)

    return on_revision
