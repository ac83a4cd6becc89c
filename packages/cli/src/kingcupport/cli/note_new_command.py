"""The command ``kingcupport note new``."""

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import input_files

TEMPLATE = """\
# Release note. Check it with "kingcupport note check FILE --fleet FLEET".
revision = {revision}
base = {base}
base_digest = "{digest}"

# Remove the comment signs from what this release changes. An entry under
# "changed" is written in full, like one under "added".

# [[added.services]]
# name = "gate"                  # unique among services
# address = "192.0.2.10:443"     # where callers connect
# default_timeout_ms = 10000     # for requests that state no timeout
# retention_ms = 900000          # how long results of keyed requests are kept
# long_work_percent = 40         # share of slots for long requests

# [[added.balancers]]
# name = "dakar-balancer-1"      # unique among balancers, backend servers
# address = "192.0.2.20:7000"    # UDP for packets, TCP for peers
# data_centre = "dakar-plateau"

# [[added.backend_servers]]
# name = "gate-1"                # also the name of its agent
# service = "gate"
# agent_address = "192.0.2.30:7000"
# server_address = "192.0.2.30:8080"
# data_centre = "dakar-plateau"
# slots = 1                      # requests that the server runs at once
# weight = 100                   # share of connections, relative to others

# [[changed.backend_servers]]
# name = "gate-2"
# ...

# [withdrawn]
# services = []
# balancers = []
# backend_servers = ["gate-3"]
"""


class NoteNewCommand(_command.Command):
    """Prints a template of the next release note with explanations."""

    name = 'note new'
    description = 'Print a commented template of the next release note.'
    options = (_command.FLEET_OPTION,)

    def handle(self):
        """Run the command; return an ExitCode."""
        fleet = input_files.read_fleet(self.option('fleet'))
        text = TEMPLATE.format(
            revision=fleet.revision + 1,
            base=fleet.revision,
            digest=fleet.digest,
        )
        self.print_text(text)
        return exit_code.ExitCode.DONE
