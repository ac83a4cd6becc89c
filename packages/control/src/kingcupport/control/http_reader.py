"""Bounded HTTP reads of JSON documents from the platform."""

import json
import zlib

import gevent
import geventhttpclient

# The service answers in milliseconds; two seconds cover a retransmitted SYN.
CONNECT_TIMEOUT_MS = 2_000
READ_TIMEOUT_MS = 2_000
# A service that sends a byte at a time passes the timeouts above.
TOTAL_TIMEOUT_MS = 5_000
_OK = 200
# The instance list of 6,240 processes is 127 KB as text. Read every 20.8 s,
# that is 6 KB/s, more than the whole budget for control traffic.
_HEADERS = {'Accept-Encoding': 'gzip'}
# Window size of zlib, with the gzip header expected.
_GZIP_WINDOW_BITS = 16 + zlib.MAX_WBITS


class HttpReader:
    """Reads JSON documents over one kept connection.

    Args:
        address: Address of the service.
        error_class: KingcupportError class to raise.
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

    def get_json(self, target, limit_bytes, also_allowed=()):
        """Read a JSON document.

        Args:
            target: Path and query.
            limit_bytes: Greatest size of the body, decompressed.
            also_allowed: Statuses other than 200 that are answers; their
                body is not read.

        Returns:
            The status and the document, None for another status than 200.

        Raises:
            KingcupportError: Of the reader's error class.
        """
        try:
            with gevent.Timeout(
                TOTAL_TIMEOUT_MS / 1000, TimeoutError('answer takes too long')
            ):
                status, body = self._get(target, limit_bytes)
        except (
            OSError,
            geventhttpclient.HTTPParseError,
            zlib.error,
        ) as error:
            raise self._error(target, f'{error}') from None
        if status in also_allowed:
            return status, None
        if status != _OK:
            raise self._error(target, f'status {status}')
        if len(body) > limit_bytes:
            raise self._error(target, f'more than {limit_bytes} bytes')
        try:
            return status, json.loads(body)
        except (ValueError, RecursionError) as error:
            raise self._error(target, f'is not JSON: {error}') from None

    def _get(self, target, limit_bytes):
        response = self._client.get(target, _HEADERS)
        try:
            if response.status_code != _OK:
                return response.status_code, b''
            body = response.read(limit_bytes + 1)
            if response.get('content-encoding') == 'gzip':
                body = _decompress(body, limit_bytes)
            return _OK, body
        finally:
            # An answer that was not read to its end closes the connection.
            response.release()

    def _error(self, target, reason):
        return self._error_class(reason, step=f'get {target}', peer=self.peer)


def _decompress(body, limit_bytes):
    """Return at most one byte more than the limit.

    Raises:
        zlib.error: The body is not gzip or is cut off.
    """
    decompressor = zlib.decompressobj(_GZIP_WINDOW_BITS)
    text = decompressor.decompress(bytes(body), limit_bytes + 1)
    if not decompressor.eof and len(text) <= limit_bytes:
        raise zlib.error('gzip stream is cut off')
    return text
