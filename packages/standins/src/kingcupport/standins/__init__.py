"""Stand-ins for the platform, the load tool and the demo."""
