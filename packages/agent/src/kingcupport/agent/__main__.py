"""Entry point of kingcupport-agent."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from kingcupport.agent import agent as agent_module  # noqa: E402
from kingcupport.agent import settings as settings_module  # noqa: E402
from kingcupport.observability import program  # noqa: E402


def main():
    """Run the agent until it is signalled to stop; return the exit code."""
    return program.run(
        'kingcupport-agent',
        settings_module.AgentSettings,
        agent_module.make_agent,
        sys.argv[1:],
    )


if __name__ == '__main__':
    sys.exit(main())
