"""Services, balancers, backend servers, the fleet and release notes."""
