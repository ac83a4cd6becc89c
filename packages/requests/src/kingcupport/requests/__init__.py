"""Request queues, admission, claims and the backend port."""
