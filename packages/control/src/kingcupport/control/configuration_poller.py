"""Polls the configuration service and offers its data to the registry."""

import logging

from kingcupport.control import configuration_reader
from kingcupport.control import offer_result

LOG = logging.getLogger(__name__)

# Half of the 2,000 calls per second that the service allows all readers.
RATE_BUDGET_PER_S = 1_000
MIN_INTERVAL_MS = 1_000
# Prevents processes from polling in lockstep.
_JITTER = (0.75, 1.25)
# A process more than 16 x 64 notes behind continues at the next poll.
MAX_READS_PER_POLL = 16
# A whole fleet is 500 KB. Each consecutive read of one that is not accepted,
# because the service is stale or its notes do not fit, doubles the interval.
MAX_DOUBLINGS = 4
ORIGIN = 'configuration service'


class ConfigurationPoller:
    """Polls the configuration service for notes and fleets.

    Args:
        registry: FleetRegistry.
        reader: ConfigurationReader, None when there is no service.
        rng: random.Random for the jitter.
        counts: collections.Counter of the process.
        rate_budget_per_s: Reads per second of all processes of the fleet
            together.
    """

    def __init__(
        self,
        registry,
        reader,
        rng,
        counts,
        rate_budget_per_s=RATE_BUDGET_PER_S,
    ):
        self._registry = registry
        self._reader = reader
        self._rng = rng
        self._counts = counts
        self._rate_budget_per_s = rate_budget_per_s
        self._is_service_up = True
        self._unneeded_fleets_in_a_row = 0

    def next_delay_ms(self):
        """Return the time until the next poll in ms, with jitter."""
        processes = len(self._registry.peer_addresses)
        interval_ms = processes * 1000 / self._rate_budget_per_s
        doublings = min(self._unneeded_fleets_in_a_row, MAX_DOUBLINGS)
        interval_ms = max(MIN_INTERVAL_MS, interval_ms) * 2**doublings
        return interval_ms * self._rng.uniform(*_JITTER)

    def poll(self):
        """Read the service and offer what it returns to the registry.

        Returns:
            Whether the service answered.
        """
        if self._reader is None:
            return False
        try:
            for _ in range(MAX_READS_PER_POLL):
                if not self._read_once():
                    break
        except configuration_reader.ConfigurationError as error:
            self._counts['configuration_reads_failed'] += 1
            self._log_service_state(False, str(error))
            return False
        self._log_service_state(True, '')
        return True

    def _read_once(self):
        """Return whether there may be more notes."""
        self._counts['configuration_reads'] += 1
        before = self._registry.fleet.revision
        reading = self._reader.read(before)
        results = [
            self._registry.offer_plain_note(note, ORIGIN)
            for note in reading.notes
        ]
        if _needs_whole_fleet(results):
            self._counts['configuration_reads'] += 1
            reading = self._reader.read_fleet()
        self._offer_fleet(reading.fleet)
        is_full_batch = len(reading.notes) >= configuration_reader.MAX_NOTES
        return is_full_batch and self._registry.fleet.revision > before

    def _offer_fleet(self, plain):
        if plain is None:
            self._unneeded_fleets_in_a_row = 0
            return
        result = self._registry.offer_plain_fleet(plain, ORIGIN)
        if result is offer_result.OfferResult.ACCEPTED:
            self._unneeded_fleets_in_a_row = 0
        else:
            self._unneeded_fleets_in_a_row += 1

    def _log_service_state(self, is_service_up, reason):
        # Log changes of the state only, not every failed poll.
        if is_service_up == self._is_service_up:
            return
        self._is_service_up = is_service_up
        if is_service_up:
            LOG.info('configuration service reads succeed again')
        else:
            LOG.warning(
                'configuration service read failed; '
                'newer revisions can only come from peers',
                extra={'reason': reason},
            )


def _needs_whole_fleet(results):
    """Return whether the notes do not continue the fleet in force.

    They belong to another branch of the history or follow a gap.
    """
    return (
        offer_result.OfferResult.UNFIT in results
        and results[-1] is not offer_result.OfferResult.ACCEPTED
    )
