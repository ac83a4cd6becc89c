"""Handlers of difference, status and audit requests."""

from kingcupport.fleet import documents
from kingcupport.fleet import release_note
from kingcupport.wire import control_messages


class ControlHandlers:
    """Handles the peer messages of the control plane.

    Args:
        name: Name of this process.
        registry: FleetRegistry.
        audit: AuditTrail.
        counts: collections.Counter of the process.
        state: Returns ``starting``, ``ready`` or ``draining``.
        figures: Returns integer gauges by name.
    """

    def __init__(self, name, registry, audit, counts, state, figures):
        self._name = name
        self._registry = registry
        self._audit = audit
        self._counts = counts
        self._state = state
        self._figures = figures

    def by_message_class(self):
        """Return the handlers by message class, as a PeerServer takes them."""
        return {
            control_messages.DifferenceRequest: self.on_difference_request,
            control_messages.StatusRequest: self.on_status_request,
            control_messages.AuditRequest: self.on_audit_request,
        }

    def on_difference_request(self, message, peer):
        """Return a DifferenceReply with the changes since a revision."""
        self._registry.check_digest(
            message.revision, message.digest, message.sender
        )
        difference = self._registry.differences_since(
            message.revision, message.digest
        )
        fleet = difference.fleet
        return control_messages.DifferenceReply(
            self._name,
            self._registry.fleet.revision,
            [release_note.note_to_dict(note) for note in difference.notes],
            {} if fleet is None else documents.fleet_to_dict(fleet),
        )

    def on_status_request(self, message, peer):
        """Return the StatusReply."""
        fleet = self._registry.fleet
        return control_messages.StatusReply(
            self._name,
            fleet.revision,
            fleet.digest,
            self._state(),
            self._registry.conflicts,
            {**self._counts, **self._figures()},
        )

    def on_audit_request(self, message, peer):
        """Return the AuditReply."""
        return control_messages.AuditReply(
            self._name,
            self._registry.fleet.revision,
            self._audit.events(message.after_sequence),
        )
