"""Control plane: fleet revisions, configuration, instances and peers."""
