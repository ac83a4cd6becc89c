"""Runs kingcupport-balancer."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from kingcupport.balancer import balancer as balancer_module  # noqa: E402
from kingcupport.balancer import settings as settings_module  # noqa: E402
from kingcupport.observability import program  # noqa: E402


def main():
    """Run the balancer until it is stopped and return the exit code."""
    return program.run(
        'kingcupport-balancer',
        settings_module.BalancerSettings,
        balancer_module.make_balancer,
        sys.argv[1:],
    )


if __name__ == '__main__':
    sys.exit(main())
