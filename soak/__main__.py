"""Plays seeds of the soak: ``scripts/soak --seeds 1:50 --jobs 3``."""

import pathlib
import subprocess
import sys

import attrs
import cleo.application
import cleo.commands.command
import cleo.helpers
import gevent
from gevent import pool
import soak_run

DEFAULT_FOLDER = '/tmp/kingcupport-soak'


class SoakCommand(cleo.commands.command.Command):
    """Plays a range of seeds, each in a process of its own."""

    name = 'soak'
    description = 'Plays seeds against the real programs.'
    options = (
        cleo.helpers.option(
            'seeds', None, 'FIRST:LAST', False, False, False, '1:5'
        ),
        cleo.helpers.option(
            'jobs', None, 'Seeds at a time.', False, False, False, '2'
        ),
        cleo.helpers.option(
            'folder', None, 'For logs.', False, False, False, DEFAULT_FOLDER
        ),
        cleo.helpers.option(
            'one', None, 'Play one seed here.', False, False, False, ''
        ),
    )

    def handle(self):
        """Run the command; return 1 when a promise did not hold."""
        folder = pathlib.Path(self.option('folder'))
        if self.option('one'):
            return self._play(int(self.option('one')), folder)
        first, _, last = self.option('seeds').partition(':')
        seeds = range(int(first), int(last or first) + 1)
        workers = pool.Pool(int(self.option('jobs')))
        codes = workers.map(lambda s: _play_apart(s, folder), seeds)
        failed = [s for s, code in zip(seeds, codes, strict=True) if code]
        self.line(f'{len(seeds)} seeds, {len(failed)} failed: {failed}')
        return int(bool(failed))

    def _play(self, seed, folder):
        own = folder / str(seed)
        own.mkdir(parents=True, exist_ok=True)
        for old in own.iterdir():
            old.unlink()
        report = soak_run.SoakRun(seed, own).play()
        plain = attrs.asdict(report)
        self.line(' '.join(f'{k}={v}' for k, v in plain.items()))
        return int(bool(report.broken))


def _play_apart(seed, folder):
    process = subprocess.Popen(
        [sys.executable, __file__, '--one', str(seed), '--folder', folder]
    )
    while process.poll() is None:
        gevent.sleep(0.1)
    return process.returncode


def main():
    """Run the program; return its exit code."""
    application = cleo.application.Application('soak')
    command = SoakCommand()
    application.add(command)
    application.auto_exits(False)
    application._default_command = command.name
    application._single_command = True
    return application.run()


if __name__ == '__main__':
    sys.exit(main())
