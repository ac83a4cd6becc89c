"""Reads the health and metrics of a balancer or an agent over HTTP."""

import geventhttpclient

from kingcupport.common import errors

TIMEOUT_MS = 2_000
_STATUS_OK = 200


class ProbeError(errors.KingcupportError):
    """The HTTP port of a process does not answer."""

    code = 'probe_failed'


class ProcessProbe:
    """HTTP client for the health and metrics of one process.

    Args:
        address: The process's ``http_address``.
    """

    def __init__(self, address):
        self._address = address

    def ready(self):
        """Return whether the process is ready for work."""
        return self._get('/readyz')[0] == _STATUS_OK

    def readiness(self):
        """Return the text of ``/readyz``, one line."""
        return self._get('/readyz')[1].strip()

    def metrics(self):
        """Return the values of metrics without labels, by name."""
        lines = self._get('/metrics')[1].splitlines()
        pairs = (
            line.rsplit(' ', 1)
            for line in lines
            if line and not line.startswith('#')
        )
        return {
            name.removesuffix('{}'): float(value)
            for name, value in pairs
            if '="' not in name
        }

    def revision(self):
        """Return the revision in force, None if there is no such metric."""
        values = (
            int(value)
            for name, value in self.metrics().items()
            if name.endswith('_revision')
        )
        return next(values, None)

    def _get(self, path):
        client = geventhttpclient.HTTPClient(
            self._address.ip,
            self._address.port,
            connection_timeout=TIMEOUT_MS / 1000,
            network_timeout=TIMEOUT_MS / 1000,
        )
        try:
            response = client.get(path)
            text = bytes(response.read()).decode(errors='replace')
        except (OSError, geventhttpclient.HTTPParseError) as error:
            raise ProbeError(
                str(error), step=f'get {path}', peer=str(self._address)
            ) from None
        finally:
            client.close()
        return response.status_code, text
