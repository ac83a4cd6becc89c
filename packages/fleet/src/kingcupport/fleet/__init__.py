"""Fleet model: services, balancers, backend servers, release notes."""
