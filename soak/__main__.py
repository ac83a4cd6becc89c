"""Runs seeds of the soak test: ``scripts/soak --seeds 1:50 --jobs 3``."""

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
    """Runs a range of seeds, each in its own process."""

    name = 'soak'
    description = 'Runs seeds against the real programs.'
    options = (
        cleo.helpers.option(
            'seeds', None, 'FIRST:LAST', False, False, False, '1:5'
        ),
        cleo.helpers.option(
            'jobs', None, 'Seeds run in parallel.', False, False, False, '2'
        ),
        cleo.helpers.option(
            'folder',
            None,
            'Folder for logs.',
            False,
            False,
            False,
            DEFAULT_FOLDER,
        ),
        cleo.helpers.option(
            'one',
            None,
            'One seed, run in this process.',
            False,
            False,
            False,
            '',
        ),
    )

    def handle(self):
        """Run the command; return 1 if a seed violated an invariant."""
        folder = pathlib.Path(self.option('folder'))
        if self.option('one'):
            return self._run_seed(int(self.option('one')), folder)
        first, _, last = self.option('seeds').partition(':')
        seeds = range(int(first), int(last or first) + 1)
        subprocess_pool = pool.Pool(int(self.option('jobs')))
        codes = subprocess_pool.map(
            lambda s: _run_seed_in_subprocess(s, folder), seeds
        )
        failed = [s for s, code in zip(seeds, codes, strict=True) if code]
        self.line(f'{len(seeds)} seeds, {len(failed)} failed: {failed}')
        return int(bool(failed))

    def _run_seed(self, seed, folder):
        seed_folder = folder / str(seed)
        seed_folder.mkdir(parents=True, exist_ok=True)
        for stale_file in seed_folder.iterdir():
            stale_file.unlink()
        report = soak_run.SoakRun(seed, seed_folder).run()
        fields = attrs.asdict(report)
        self.line(' '.join(f'{k}={v}' for k, v in fields.items()))
        return int(bool(report.broken))


def _run_seed_in_subprocess(seed, folder):
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
