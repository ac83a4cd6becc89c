"""Specification of a small deployment."""

import attrs


@attrs.frozen
class ServiceSpec:
    """Specification of one service.

    Args:
        name: Name of the service.
        servers_count: Initial number of backend servers.
        slots: Number of requests that each server runs concurrently.
    """

    name: str
    servers_count: int
    slots: int = 1


@attrs.frozen
class DeploymentSpec:
    """Specification of one operator's deployment.

    Args:
        name: Name of the deployment, prefix of its process names.
        data_centres: Names of data centres; instances are assigned to them
            round-robin.
        balancers_count: Initial number of balancers.
        services: Tuple of ServiceSpec.
    """

    name: str
    data_centres: tuple
    balancers_count: int
    services: tuple


AGENCE = DeploymentSpec(
    name='agence',
    data_centres=('dakar-plateau', 'saint-louis', 'thies-centre'),
    balancers_count=3,
    services=(ServiceSpec('ticketing', 3), ServiceSpec('audio', 2)),
)
LILIN_SERI = DeploymentSpec(
    name='lilin-seri',
    data_centres=('klang', 'petaling-jaya', 'shah-alam', 'subang'),
    balancers_count=3,
    services=(
        ServiceSpec('membership', 3, slots=2),
        ServiceSpec('catalogue', 2, slots=2),
    ),
)
