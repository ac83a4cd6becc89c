"""Counters and gauges of a process in the Prometheus text format."""

import itertools

import aioprometheus
from aioprometheus import histogram

from kingcupport.observability import latency_histogram

_PREFIX = 'kingcupport'
_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


class Metrics:
    """The metrics of one process.

    Metrics are declared once and then updated by their short name. Each call
    of ``count`` encodes the labels. Code that runs thousands of times a second
    therefore increments its own integer and copies it with ``set_total`` in a
    ``before_render`` callback.

    Args:
        prefix: Prefix of each metric's name, without the underscore.
    """

    def __init__(self, prefix):
        self._prefix = prefix
        self._registry = aioprometheus.Registry()
        self._collectors = {}
        self._callbacks = []

    def add_counter(self, name, description):
        """Declare a counter.

        Args:
            name: Short name, by convention with the suffix ``_total``.
            description: One line for the reader of the metrics.
        """
        self._add(aioprometheus.Counter, name, description)

    def add_gauge(self, name, description):
        """Declare a gauge.

        Args:
            name: Short name with its unit as a suffix.
            description: One line for the reader of the metrics.
        """
        self._add(aioprometheus.Gauge, name, description)

    def _add(self, collector_class, name, description):
        self._collectors[name] = collector_class(
            f'{self._prefix}_{name}', description, registry=self._registry
        )

    def count(self, name, amount=1, /, **labels):
        """Increase a counter.

        Args:
            name: Short name of a declared counter.
            amount: Increment, not negative.
            **labels: Label values by label name.
        """
        self._collectors[name].add(_escape(labels), amount)

    def set_total(self, name, value, /, **labels):
        """Set a counter to a total that the caller maintains."""
        collector = self._collectors[name]
        if not isinstance(collector, aioprometheus.Counter):
            raise TypeError(f'{name} is not a counter')
        collector.set(_escape(labels), value)

    def set_gauge(self, name, value, /, **labels):
        """Set a gauge."""
        collector = self._collectors[name]
        if not isinstance(collector, aioprometheus.Gauge):
            raise TypeError(f'{name} is not a gauge')
        collector.set(_escape(labels), value)

    def value(self, name, /, **labels):
        """Return the value of a metric; 0 before its first update."""
        try:
            return self._collectors[name].get_value(_escape(labels))
        except KeyError:
            if name not in self._collectors:
                raise
            return 0

    def register_totals(self, read_totals):
        """Declare counters whose values the caller maintains.

        Args:
            read_totals: Returns the totals by name; called once now for the
                names and before each rendering for the values. The suffix
                ``_total`` is appended to the names.
        """
        for name in read_totals():
            self.add_counter(f'{name}_total', f'Total of {name}')

        def copy_totals():
            for name, value in read_totals().items():
                self.set_total(f'{name}_total', value)

        self.before_render(copy_totals)

    def register_gauges(self, read_gauges):
        """Declare gauges whose values the caller maintains.

        Args:
            read_gauges: Returns the values by name; called once now for the
                names and before each rendering for the values.
        """
        for name in read_gauges():
            self.add_gauge(name, f'Current value of {name}')

        def copy_gauges():
            for name, value in read_gauges().items():
                self.set_gauge(name, value)

        self.before_render(copy_gauges)

    def register_events(self, name, description, counts):
        """Declare a counter whose label ``event`` is a key of a mapping.

        Args:
            name: Short name of the counter.
            description: One line for the reader of the metrics.
            counts: Totals by event; keys may be added later.
        """
        self.add_counter(name, description)

        def copy_events():
            for event, value in counts.items():
                self.set_total(name, value, event=event)

        self.before_render(copy_events)

    def register_latencies(self, latencies):
        """Declare histograms of durations that the caller counts.

        Args:
            latencies: LatencyHistogram by the short name of the metric, which
                ends with its unit.
        """
        for name in latencies:
            self._add(aioprometheus.Histogram, name, f'Durations of {name}')

        def copy_latencies():
            for name, counts in latencies.items():
                self._collectors[name].set_value({}, _make_histogram(counts))

        self.before_render(copy_latencies)

    def before_render(self, callback):
        """Register a function that is called before each rendering."""
        self._callbacks.append(callback)

    def render(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        for callback in self._callbacks:
            callback()
        content, _headers = aioprometheus.render(self._registry, ())
        return content


def _make_histogram(counts):
    result = histogram.Histogram(*latency_histogram.BUCKET_BOUNDS_MS)
    # Prometheus buckets are cumulative.
    result.buckets = dict(
        zip(result.buckets, itertools.accumulate(counts.counts), strict=True)
    )
    result.observations = sum(counts.counts)
    result.sum = counts.total_ms
    return result


def _escape(labels):
    # aioprometheus does not escape label values.
    return {
        key: str(value).translate(_ESCAPES) for key, value in labels.items()
    }


def make_metrics(program):
    """Return the metrics of a program.

    Args:
        program: ``balancer`` or ``agent``; names start with
            ``kingcupport_<program>_``.
    """
    return Metrics(f'{_PREFIX}_{program}')
