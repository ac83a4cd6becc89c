"""HTTP client for servers that answer with JSON."""

import json

import geventhttpclient

from kingcupport.common import errors

DEFAULT_TIMEOUT_MS = 2000


class JsonClientError(errors.KingcupportError):
    """A call failed, or its answer is not status 200 with JSON."""

    code = 'json_call_failed'


def call(address, method, path, document=None, timeout_ms=DEFAULT_TIMEOUT_MS):
    """Send one request and return the parsed answer.

    Args:
        address: Address of the server.
        method: HTTP method.
        path: Path and query.
        document: Value to send as JSON; None sends no body.
        timeout_ms: Timeout of connecting and of each read.

    Raises:
        JsonClientError: No answer, a status other than 200, or invalid JSON.
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
