"""What the demo found for one deployment."""

import attrs


@attrs.frozen
class DemoResult:
    """Load report and findings of one deployment.

    Args:
        deployment: Name of the deployment.
        start_ms: Time until all processes had started.
        first_note_ms: Time until the first release note was in force.
        second_note_ms: Time until the one under load was in force.
        late_runs: Requests that withdrawn backend servers began after the
            time in which they may still get new work.
        connections_by_agent: Connections at the end of the load, by name.
        ended_processes: Names of processes that ended unexpectedly.
        unfinished_processes: Withdrawn processes that did not end in time
            after SIGTERM.
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
        """Whether nothing broke."""
        return self.report['faultless'] and not (
            self.late_runs or self.ended_processes or self.unfinished_processes
        )

    def to_plain(self):
        """Return the result as a JSON object."""
        return {**attrs.asdict(self), 'faultless': self.faultless}

    def lines(self):
        """Return what is known besides the load report, as lines."""
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
