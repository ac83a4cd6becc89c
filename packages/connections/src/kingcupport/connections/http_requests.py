"""Parses HTTP/1.1 requests from a connection's byte stream."""

import attrs
import h11

from kingcupport.common import errors

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 1024 * 1024


class HttpRequestError(errors.KingcupportError):
    """Bytes that are not a valid or supported HTTP request.

    Args:
        reason: One line for the body of the refusal.
        status: HTTP status of the refusal.
    """

    code = 'bad_http_request'

    def __init__(self, reason, status):
        super().__init__(reason, step='parse_request')
        self.status = status


@attrs.frozen
class ParsedRequest:
    """One complete HTTP request.

    Args:
        method: HTTP method in upper case.
        target: Request target.
        headers: Tuple of ``(name, value)`` byte pairs, names in lower case.
        body: The complete body.
        http_version: ``1.0`` or ``1.1``.
        keep_alive: Whether the connection stays open after the answer.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    http_version: str
    keep_alive: bool


class RequestParser:
    """Splits a byte stream into requests, including pipelined ones.

    h11 handles one request at a time, so each request gets a new h11
    connection, which starts with the bytes left over by the previous one. An
    idle connection keeps no h11 connection, to save memory.
    """

    def __init__(self):
        self._http = None
        self._events = []
        self._unread = b''

    @property
    def idle(self):
        """Whether no bytes of a request are buffered."""
        return self._http is None and not self._unread

    @property
    def is_incomplete(self):
        """Whether a request has started but not been received completely."""
        return self._http is not None

    @property
    def unread_bytes(self):
        """Number of bytes after the request that was returned last."""
        return len(self._unread)

    def unparsed(self):
        """Return the bytes that belong to no returned request."""
        started = bytes(self._request_bytes) if self._http else b''
        return started + self._unread

    def feed(self, data):
        """Append bytes in stream order."""
        self._unread += data

    def next_request(self):
        """Return the next complete ParsedRequest, or None.

        Raises:
            HttpRequestError: The bytes are not an HTTP request, or it is too
                large. The stream cannot be parsed any further.
        """
        if not self._unread:
            return None
        data, self._unread = self._unread, b''
        self._start_if_idle()
        self._request_bytes += data
        self._http.receive_data(data)
        request = self._read_events()
        if request is not None:
            self._unread = self._http.trailing_data[0]
            self._http = None
        return request

    def take_continue_response(self):
        """Return the 100 response that the client waits for, or no bytes.

        A client that sent ``Expect: 100-continue`` withholds the body for a
        second or more.
        """
        http = self._http
        if http is None or not http.they_are_waiting_for_100_continue:
            return b''
        return http.send(
            h11.InformationalResponse(status_code=100, headers=[])
        )

    def discard(self):
        """Drop all buffered bytes."""
        self._http = None
        self._events = []
        self._unread = b''

    def _start_if_idle(self):
        if self._http is None:
            self._http = h11.Connection(
                h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
            )
            self._events = []
            self._request_bytes = bytearray()

    def _read_events(self):
        try:
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._check_size()
                    return None
                if isinstance(event, h11.EndOfMessage):
                    return self._finish_request()
                self._events.append(event)
        except h11.RemoteProtocolError as error:
            raise HttpRequestError(
                str(error), error.error_status_hint
            ) from None

    def _check_size(self):
        if len(self._request_bytes) > MAX_HEAD_BYTES + MAX_BODY_BYTES:
            raise HttpRequestError(
                f'request exceeds {MAX_BODY_BYTES} bytes', 413
            )

    def _finish_request(self):
        head, *chunks = self._events
        if head.method == b'CONNECT':
            raise HttpRequestError('CONNECT is not supported', 405)
        body = b''.join(bytes(chunk.data) for chunk in chunks)
        if len(body) > MAX_BODY_BYTES:
            raise HttpRequestError(f'body exceeds {MAX_BODY_BYTES} bytes', 413)
        headers = tuple(
            (bytes(name), bytes(value)) for name, value in head.headers
        )
        return ParsedRequest(
            method=head.method.decode('ascii').upper(),
            target=head.target.decode('latin-1'),
            headers=headers,
            body=body,
            http_version=head.http_version.decode('ascii'),
            keep_alive=_is_keep_alive(head),
        )


def _is_keep_alive(head):
    options = {
        option.strip().lower()
        for name, value in head.headers
        if name == b'connection'
        for option in value.split(b',')
    }
    return head.http_version != b'1.0' and b'close' not in options
