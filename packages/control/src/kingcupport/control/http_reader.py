"""HTTP client for JSON documents, with limits on time and size."""

import json
import zlib

import gevent
import geventhttpclient

# The service responds in milliseconds; 2 s covers a retransmitted SYN.
CONNECT_TIMEOUT_MS = 2_000
READ_TIMEOUT_MS = 2_000
# Bounds responses that arrive one byte at a time within the read timeout.
TOTAL_TIMEOUT_MS = 5_000
_OK = 200
# Uncompressed, the instance list of 6,240 processes is 127 KB. Reading it
# every 20.8 s takes 6 KB/s, more than the whole budget for control traffic.
_HEADERS = {'Accept-Encoding': 'gzip'}
# Adding 16 makes zlib expect a gzip header.
_GZIP_WINDOW_BITS = 16 + zlib.MAX_WBITS


class HttpReader:
    """Reads JSON documents over a persistent connection.

    Args:
        address: Address of the service.
        error_class: Subclass of KingcupportError to raise.
    """

    def __init__(self, address, error_class):
        self.peer = str(address)
        self._error_class = error_class
        self._client = geventhttpclient.HTTPClient(
            address.ip,
            address.port,
            connection_timeout=CONNECT_TIMEOUT_MS / 1000,
            network_timeout=READ_TIMEOUT_MS / 1000,
        )

    def get_json(self, target, max_bytes, other_allowed_statuses=()):
        """Send a GET request and parse the JSON response.

        Args:
            target: Path and query.
            max_bytes: Greatest size of the body, decompressed.
            other_allowed_statuses: Statuses other than 200 that are returned
                instead of raised; their body is not read.

        Returns:
            The status and the document, which is None unless the status is
            200.

        Raises:
            KingcupportError: The request failed, or the response is too
                large, not JSON or has another status; of the reader's
                error class.
        """
        try:
            with gevent.Timeout(
                TOTAL_TIMEOUT_MS / 1000,
                TimeoutError('response takes too long'),
            ):
                status, body = self._get(target, max_bytes)
        except (
            OSError,
            geventhttpclient.HTTPParseError,
            zlib.error,
        ) as error:
            raise self._error(target, f'{error}') from None
        if status in other_allowed_statuses:
            return status, None
        if status != _OK:
            raise self._error(target, f'status {status}')
        if len(body) > max_bytes:
            raise self._error(target, f'more than {max_bytes} bytes')
        try:
            return status, json.loads(body)
        except (ValueError, RecursionError) as error:
            raise self._error(target, f'is not JSON: {error}') from None

    def _get(self, target, max_bytes):
        response = self._client.get(target, _HEADERS)
        try:
            if response.status_code != _OK:
                return response.status_code, b''
            body = response.read(max_bytes + 1)
            if response.get('content-encoding') == 'gzip':
                body = _decompress(body, max_bytes)
            return _OK, body
        finally:
            # Closes the connection if the body was not read completely.
            response.release()

    def _error(self, target, reason):
        return self._error_class(reason, step=f'get {target}', peer=self.peer)


def _decompress(body, max_bytes):
    """Decompress a gzip body to at most one byte more than the limit.

    Raises:
        zlib.error: The body is not gzip or is truncated.
    """
    decompressor = zlib.decompressobj(_GZIP_WINDOW_BITS)
    text = decompressor.decompress(bytes(body), max_bytes + 1)
    if not decompressor.eof and len(text) <= max_bytes:
        raise zlib.error('gzip stream is truncated')
    return text
