"""HTTP control port of the fabric for tests."""

from kingcupport.common import address as address_module
from kingcupport.standins import fabric_faults
from kingcupport.standins import fault_documents
from kingcupport.standins import json_server


class FabricControl:
    """Serves the counts, connections, faults and balancers of a fabric.

    Routes are ``GET /_counts``, ``GET /_connections``, ``PUT /_faults`` and
    ``PUT /_balancers``.

    Args:
        address: Address to listen on; port 0 selects a free port.
        fabric: Fabric to control.
    """

    def __init__(self, address, fabric):
        self._fabric = fabric
        routes = {
            ('GET', '/_counts'): self._get_counts,
            ('GET', '/_connections'): self._get_connections,
            ('PUT', '/_faults'): self._put_faults,
            ('PUT', '/_balancers'): self._put_balancers,
        }
        self._server = json_server.JsonServer(address, routes)

    @property
    def address(self):
        """Address that the server listens on; available after ``start``."""
        return self._server.address

    def start(self):
        """Start listening and serving in background tasks."""
        self._server.start()

    def stop(self):
        """Stop serving."""
        self._server.stop()

    def _get_counts(self, request):
        counts = dict(self._fabric.counts)
        counts['connections'] = self._fabric.connection_count
        counts['balancers'] = self._fabric.balancer_count
        counts['services'] = self._fabric.service_count
        return json_server.JsonReply(200, counts)

    def _get_connections(self, request):
        plain = [c.to_plain() for c in self._fabric.connections()]
        return json_server.JsonReply(200, plain)

    def _put_faults(self, request):
        self._fabric.faults = fault_documents.read_document(
            request.document, fabric_faults.FabricFaults
        )
        return json_server.JsonReply(200, {})

    def _put_balancers(self, request):
        texts = request.document
        if not isinstance(texts, list):
            raise json_server.JsonRequestError(
                'body is not a list of addresses', step='put_balancers'
            )
        self._fabric.set_balancers(map(address_module.parse_address, texts))
        return json_server.JsonReply(200, {})
