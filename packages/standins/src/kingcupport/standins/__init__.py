"""Platform stand-ins, load generator and demo."""
