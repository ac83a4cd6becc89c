"""Exchange of views between balancers over TCP.

Imported only after the balancer has started to serve, because its imports
would delay the start.
"""

import collections
import logging

from kingcupport.common import address as address_module
from kingcupport.common import errors
from kingcupport.control import peer_caller
from kingcupport.control import peer_pool
from kingcupport.control import peer_server
from kingcupport.wire import flow_messages

LOG = logging.getLogger(__name__)

# A difference has a few KB. A configuration of 1,200 routes has 14 KB, which
# 58 peers that ask at the same time get within 1 s from a link of 10 Mbit/s.
PULL_TIMEOUT_MS = 3_000


class FlowViewExchange:
    """Serves this balancer's view and fetches those of its peers.

    Args:
        settings: FlowBalancerSettings.
        clock: Clock.
        view: FleetView.
        counters: FlowCounters.
    """

    def __init__(self, settings, clock, view, counters):
        self._settings = settings
        self._clock = clock
        self._view = view
        self._counters = counters
        counts = collections.Counter()
        self._pool = peer_pool.PeerPool(None, clock, counts)
        self._server = peer_server.PeerServer(
            settings.peer_address,
            {flow_messages.ViewRequest: self._answer},
            name=settings.name,
            read_revision=lambda: view.configuration.version,
            counts=counts,
        )

    def start(self):
        """Start to serve requests of other balancers.

        Raises:
            OSError: The address cannot be used.
        """
        self._server.start()

    def stop(self):
        """Close all connections."""
        self._server.stop()
        self._pool.close()

    def pull(self, ip):
        """Fetch and apply the changes that a peer has and this view lacks.

        Args:
            ip: Address of the balancer.

        Returns:
            Whether the changes were applied. If not, the next greeting of a
            peer that is ahead triggers another attempt.
        """
        request = flow_messages.ViewRequest(
            self._settings.name,
            self._view.configuration.version,
            self._view.content_revision,
        )
        address = address_module.Address(ip, self._settings.peer_address.port)
        deadline_ms = self._clock.monotonic_ms() + PULL_TIMEOUT_MS
        try:
            reply = self._pool.call_address(address, request, deadline_ms)
            self._view.apply_difference(reply.difference)
        except (peer_caller.PeerError, errors.KingcupportError) as error:
            self._counters.view_pulls_failed += 1
            LOG.info(
                'pull of a view from a peer failed', extra={'error': error}
            )
            return False
        except (AttributeError, ValueError, TypeError) as error:
            self._counters.view_pulls_failed += 1
            LOG.warning(
                'peer sent a malformed view',
                extra={'peer': ip, 'reason': str(error)},
            )
            return False
        self._counters.views_pulled += 1
        return True

    def _answer(self, request, _peer):
        return flow_messages.ViewReply(
            self._settings.name,
            self._view.configuration.version,
            self._view.difference_since(
                request.revision, request.content_revision
            ),
        )


def make_flow_view_exchange(settings, clock, view, counters):
    """Return an exchange that has not been started.

    Args:
        settings: FlowBalancerSettings.
        clock: Clock.
        view: FleetView.
        counters: FlowCounters.
    """
    return FlowViewExchange(settings, clock, view, counters)
