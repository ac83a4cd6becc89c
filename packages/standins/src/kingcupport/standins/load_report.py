"""Results of the load generator."""

import collections

from hdrh import histogram

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9)


class LoadReport:
    """Counts and latencies of one LoadRun."""

    def __init__(self):
        self.requests = 0
        self.answered = 0
        self.lost = 0
        self.wrong = 0
        self.retries = 0
        self.connections_opened = 0
        self.connections_broken = 0
        self.connections_ended = 0
        self.connect_failures = 0
        self.run_twice = 0
        self.ran_after_not_run = 0
        self.runs_not_read = 0
        self.duration_ms = 0.0
        self.refusals = collections.Counter()
        self.final_outcomes = collections.Counter()
        self.first_errors = []
        # Names of servers that were in the fleet for part of the run only;
        # they are left out of the imbalance.
        self.partial_servers = set()
        self.busy_ms_by_server = collections.defaultdict(dict)
        self._answers_by_server = collections.defaultdict(collections.Counter)
        self._latencies = {
            kind: histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            for kind in ('short', 'long')
        }

    def add_answer(self, service, server, latency_ms, straggler):
        """Count a complete and correct answer."""
        self.answered += 1
        self._answers_by_server[service][server] += 1
        kind = 'long' if straggler else 'short'
        self._latencies[kind].record_value(max(1, int(latency_ms * 1000)))

    def add_error(self, text):
        """Store an error text; only the first ones are kept."""
        if len(self.first_errors) < 10:
            self.first_errors.append(text)

    @property
    def faultless(self):
        """Whether nothing was lost, broken, wrong, run twice or unread."""
        return not any(
            (
                self.connections_broken,
                self.connect_failures,
                self.lost,
                self.wrong,
                self.run_twice,
                self.ran_after_not_run,
                self.runs_not_read,
            )
        )

    def latency_ms(self, kind, percentile):
        """Return a latency percentile of ``short`` or ``long`` requests."""
        latencies = self._latencies[kind]
        return latencies.get_value_at_percentile(percentile) / 1000

    def to_plain(self):
        """Return the report as a JSON object."""
        names = (
            'requests',
            'answered',
            'lost',
            'wrong',
            'run_twice',
            'ran_after_not_run',
            'runs_not_read',
            'retries',
            'connections_opened',
            'connections_broken',
            'connections_ended',
            'connect_failures',
        )
        seconds = self.duration_ms / 1000
        return {
            **{name: getattr(self, name) for name in names},
            'faultless': self.faultless,
            'duration_ms': round(self.duration_ms),
            'answered_per_s': round(self.answered / seconds, 1)
            if seconds
            else 0,
            'refusals': dict(self.refusals),
            'final_outcomes': dict(self.final_outcomes),
            'latency_ms': {
                kind: self._latency_to_plain(kind) for kind in self._latencies
            },
            'imbalance': self._imbalance_to_plain(),
            'first_errors': self.first_errors,
        }

    def _latency_to_plain(self, kind):
        latencies = self._latencies[kind]
        return {
            'count': latencies.get_total_count(),
            **{
                f'p{percentile}': self.latency_ms(kind, percentile)
                for percentile in PERCENTILES
            },
            'max': latencies.get_max_value() / 1000,
        }

    def _imbalance_to_plain(self):
        return {
            service: {
                'requests': self._imbalance(counts),
                'busy_time': self._imbalance(
                    self.busy_ms_by_server.get(service, {})
                ),
                'servers': dict(counts),
            }
            for service, counts in sorted(self._answers_by_server.items())
        }

    def _imbalance(self, value_by_server):
        return max_over_mean(
            value
            for server, value in value_by_server.items()
            if server not in self.partial_servers
        )


def max_over_mean(values):
    """Return the maximum divided by the mean, 0 if the sum is 0."""
    value_list = list(values)
    if not sum(value_list):
        return 0
    return round(max(value_list) * len(value_list) / sum(value_list), 3)
