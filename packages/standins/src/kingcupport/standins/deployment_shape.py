"""Size and names of a small deployment."""

import attrs


@attrs.frozen
class ServiceShape:
    """One service of a deployment.

    Args:
        name: Its name.
        servers_count: Backend servers at the start.
        slots: Requests that each of them runs at once.
    """

    name: str
    servers_count: int
    slots: int = 1


@attrs.frozen
class DeploymentShape:
    """One operator's deployment.

    Args:
        name: Its name, start of the names of its processes.
        data_centres: Names; instances are spread over them in turn.
        balancers_count: Balancers at the start.
        services: ServiceShape in a tuple.
    """

    name: str
    data_centres: tuple
    balancers_count: int
    services: tuple


AGENCE = DeploymentShape(
    name='agence',
    data_centres=('dakar-plateau', 'saint-louis', 'thies-centre'),
    balancers_count=3,
    services=(ServiceShape('ticketing', 3), ServiceShape('audio', 2)),
)
LILIN_SERI = DeploymentShape(
    name='lilin-seri',
    data_centres=('klang', 'petaling-jaya', 'shah-alam', 'subang'),
    balancers_count=3,
    services=(
        ServiceShape('membership', 3, slots=2),
        ServiceShape('catalogue', 2, slots=2),
    ),
)
