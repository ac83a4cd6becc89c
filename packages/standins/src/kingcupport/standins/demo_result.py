"""Result of the demo for one deployment."""

import attrs


@attrs.frozen
class DemoResult:
    """Load report and findings of one deployment.

    Args:
        deployment: Name of the deployment.
        start_ms: Time until all processes were started.
        first_note_ms: Time until the first release note was in force.
        second_note_ms: Time until the release note published under load was
            in force.
        late_runs: Requests that withdrawn backend servers started after the
            period in which they may still receive new work.
        connections_by_agent: Number of connections at the end of the load,
            by agent name.
        ended_processes: Names of processes that ended unexpectedly.
        unfinished_processes: Names of withdrawn processes that did not end
            in time after SIGTERM.
        report: ``LoadReport.to_plain``.
    """

    deployment: str
    start_ms: float
    first_note_ms: float
    second_note_ms: float
    late_runs: int
    connections_by_agent: dict
    ended_processes: tuple
    unfinished_processes: tuple
    report: dict

    @property
    def faultless(self):
        """Whether the demo found no faults."""
        return self.report['faultless'] and not (
            self.late_runs or self.ended_processes or self.unfinished_processes
        )

    def to_plain(self):
        """Return the result as a JSON object."""
        return {**attrs.asdict(self), 'faultless': self.faultless}

    def lines(self):
        """Return the text lines for all fields except the load report."""
        pairs = (
            ('all processes started, ms', round(self.start_ms)),
            ('first note in force, ms', round(self.first_note_ms)),
            ('second note in force, ms', round(self.second_note_ms)),
            ('late work of withdrawn', self.late_runs),
        )
        lines = [f'{label:<28}{value:>10}' for label, value in pairs]
        lines += [
            f'{"connections of " + name:<28}{count:>10}'
            for name, count in sorted(self.connections_by_agent.items())
        ]
        lines += [f'ended: {name}' for name in self.ended_processes]
        return lines + [
            f'still running: {name}' for name in self.unfinished_processes
        ]
