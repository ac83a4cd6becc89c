"""Calls an HTTP server that answers with JSON."""

import json

import geventhttpclient

from kingcupport.common import errors

DEFAULT_TIMEOUT_MS = 2000


class JsonClientError(errors.KingcupportError):
    """A call that got no answer, or not the expected one."""

    code = 'json_call_failed'


def call(address, method, path, document=None, timeout_ms=DEFAULT_TIMEOUT_MS):
    """Send one request and return the answer's document.

    Args:
        address: Address of the server.
        method: HTTP method.
        path: Path and query.
        document: Value for the body; None sends no body.
        timeout_ms: Bound on connecting and on each read.

    Raises:
        JsonClientError: No answer, a status other than 200, or no JSON.
    """
    body = b'' if document is None else json.dumps(document).encode()
    client = geventhttpclient.HTTPClient(
        address.ip,
        address.port,
        connection_timeout=timeout_ms / 1000,
        network_timeout=timeout_ms / 1000,
    )
    try:
        response = client.request(method, path, body=body)
        data = bytes(response.read())
    except (OSError, geventhttpclient.response.HTTPParseError) as error:
        raise JsonClientError(
            f'{method} {path}: {error}', step='call', peer=str(address)
        ) from None
    finally:
        client.close()
    if response.status_code != 200:
        raise JsonClientError(
            f'{method} {path}: status {response.status_code}',
            step='call',
            peer=str(address),
        )
    try:
        return json.loads(data)
    except ValueError as error:
        raise JsonClientError(
            f'{method} {path}: {error}', step='call', peer=str(address)
        ) from None
