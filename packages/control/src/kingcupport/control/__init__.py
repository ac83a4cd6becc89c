"""Fleet revisions, configuration reader, instance list and peers."""
