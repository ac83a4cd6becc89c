"""Stand-in for the configuration service and instance list."""

import collections
import functools

from kingcupport.fleet import documents
from kingcupport.fleet import release_note
from kingcupport.standins import endpoint_faults
from kingcupport.standins import fault_documents
from kingcupport.standins import json_server
from kingcupport.standins import published_state as published_state_module

MAX_NOTES_PER_ANSWER = 64
ENDPOINTS = ('notes', 'fleet', 'instances')
# Minimum time between two scans of the directory.
DIRECTORY_SCAN_INTERVAL_MS = 100


class ConfigurationService:
    """Serves published release notes, the fleet and the instance list.

    ``GET /v1/notes?after=R`` returns up to ``MAX_NOTES_PER_ANSWER`` notes
    above revision R, or 410 if they are no longer stored; ``GET /v1/fleet``
    the whole fleet; ``GET /v1/instances`` the state of each instance. Tests
    control it with ``PUT /_faults``, ``PUT /_instances`` and
    ``POST /_notes``, and read the number of calls with ``GET /_calls``.

    Args:
        address: Address to listen on; port 0 selects a free port.
        published_state: PublishedState to serve.
        clock: Clock for delayed answers and directory scans.
        directory: PublishedDirectory to watch, or None.
    """

    def __init__(self, address, published_state, clock, directory=None):
        self._state = published_state
        self._clock = clock
        self._directory = directory
        self._scan_due_ms = -float('inf')
        self.faults = dict.fromkeys(
            ENDPOINTS, endpoint_faults.EndpointFaults()
        )
        self.calls = collections.Counter()
        self._server = json_server.JsonServer(address, self._routes())

    def _routes(self):
        readers = {
            'notes': self._read_notes,
            'fleet': self._read_fleet,
            'instances': self._read_instances,
        }
        routes = {
            ('GET', f'/v1/{name}'): functools.partial(
                self._serve, name, reader
            )
            for name, reader in readers.items()
        }
        return routes | {
            ('PUT', '/_faults'): self._put_faults,
            ('PUT', '/_instances'): self._put_instances,
            ('POST', '/_notes'): self._post_note,
            ('GET', '/_calls'): self._get_calls,
        }

    @property
    def address(self):
        """Address that the service listens on; available after ``start``."""
        return self._server.address

    def start(self):
        """Start listening and serving in background tasks."""
        self._server.start()

    def stop(self):
        """Stop serving."""
        self._server.stop()

    def _serve(self, name, reader, request):
        self.calls[name] += 1
        faults = self.faults[name]
        if faults.delay_ms:
            now_ms = self._clock.monotonic_ms()
            self._clock.sleep_until(now_ms + faults.delay_ms)
        if faults.down:
            return json_server.JsonReply(503, {'reason': 'down'})
        self._scan_directory()
        return reader(request, faults)

    def _scan_directory(self):
        now_ms = self._clock.monotonic_ms()
        if self._directory is None or now_ms < self._scan_due_ms:
            return
        self._scan_due_ms = now_ms + DIRECTORY_SCAN_INTERVAL_MS
        self._directory.refresh()

    def _read_notes(self, request, faults):
        after_revision = request.integer('after', 0)
        snapshot = self._state.snapshot(faults.lag_ms, faults.stale_revision)
        notes = snapshot.notes_after(after_revision)
        if notes is None:
            reason = f'no notes after revision {after_revision}'
            return json_server.JsonReply(410, {'reason': reason})
        plain = [
            release_note.note_to_dict(n) for n in notes[:MAX_NOTES_PER_ANSWER]
        ]
        return json_server.JsonReply(200, plain)

    def _read_fleet(self, request, faults):
        snapshot = self._state.snapshot(faults.lag_ms, faults.stale_revision)
        plain = documents.fleet_to_dict(snapshot.fleet)
        return json_server.JsonReply(200, plain)

    def _read_instances(self, request, faults):
        states = self._state.instance_states(
            faults.lag_ms, faults.stale_revision
        )
        return json_server.JsonReply(200, {'instances': states})

    def _put_faults(self, request):
        by_endpoint = _require_object(request.document, ENDPOINTS)
        self.faults |= {
            name: fault_documents.read_document(
                plain, endpoint_faults.EndpointFaults
            )
            for name, plain in by_endpoint.items()
        }
        return json_server.JsonReply(200, {})

    def _put_instances(self, request):
        states = _require_object(request.document)
        for name, state in states.items():
            try:
                instance_state = published_state_module.InstanceState(state)
            except ValueError:
                raise json_server.JsonRequestError(
                    f'{name}: state {state!r} is unknown', step='put_instances'
                ) from None
            self._state.set_instance_state(name, instance_state)
        return json_server.JsonReply(200, {})

    def _post_note(self, request):
        note = release_note.note_from_dict(request.document)
        fleet = self._state.publish(note)
        plain = {'revision': fleet.revision, 'digest': fleet.digest}
        return json_server.JsonReply(200, plain)

    def _get_calls(self, request):
        return json_server.JsonReply(200, dict(self.calls))


def _require_object(document, allowed=None):
    if not isinstance(document, dict):
        raise json_server.JsonRequestError(
            'body is not an object', step='read_document'
        )
    unknown = set(document) - set(allowed or document)
    if unknown:
        raise json_server.JsonRequestError(
            f'unknown key {min(unknown)!r}; allowed: {", ".join(allowed)}',
            step='read_document',
        )
    return document
