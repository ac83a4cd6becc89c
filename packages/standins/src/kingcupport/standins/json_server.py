"""HTTP server for JSON documents, based on gevent's WSGI server."""

import gzip
import http
import json
import logging
import urllib.parse

import attrs
from gevent import pywsgi

from kingcupport.common import address as address_module
from kingcupport.common import errors

LOG = logging.getLogger(__name__)

MAX_BODY_BYTES = 1024 * 1024
# Smaller answers fit into one segment without compression.
MIN_COMPRESSED_BYTES = 1024
_COMPRESSION_LEVEL = 6


class JsonRequestError(errors.KingcupportError):
    """The query or body of a request is invalid; answered with 400."""

    code = 'bad_request'


@attrs.frozen
class JsonRequest:
    """Request passed to a route.

    Args:
        query: Query parameters by name; the last value of a name counts.
        document: Parsed body, None if there is none.
    """

    query: dict
    document: object

    def integer(self, name, default):
        """Return a non-negative integer from the query.

        Raises:
            JsonRequestError: The value is not a non-negative integer.
        """
        text = self.query.get(name, str(default))
        if not text.isascii() or not text.isdigit():
            raise JsonRequestError(
                f'{name} is {text!r}, not a whole number', step='read_query'
            )
        return int(text)


@attrs.frozen
class JsonReply:
    """Reply returned by a route.

    Args:
        status: HTTP status code.
        document: Value that can be serialized as JSON.
    """

    status: int
    document: object


class JsonServer:
    """HTTP/1.1 server for routes that receive and return JSON.

    Args:
        address: Address to listen on; port 0 selects a free port.
        routes: Functions by ``(method, path)`` that take a JsonRequest and
            return a JsonReply. A KingcupportError is answered with 400.
    """

    def __init__(self, address, routes):
        self._routes = routes
        self._server = pywsgi.WSGIServer(
            address.as_tuple(), self._handle, log=None, error_log=LOG
        )

    @property
    def address(self):
        """Address that the server listens on; available after ``start``."""
        return address_module.Address(
            self._server.server_host, self._server.server_port
        )

    def start(self):
        """Start listening and serving in background tasks."""
        self._server.start()

    def stop(self):
        """Stop listening and close the connections."""
        self._server.stop(timeout=0)

    def _handle(self, environ, start_response):
        reply = self._reply(environ)
        body = json.dumps(reply.document, separators=(',', ':')).encode()
        phrase = http.HTTPStatus(reply.status).phrase
        headers = [('Content-Type', 'application/json')]
        accepted = environ.get('HTTP_ACCEPT_ENCODING', '')
        if 'gzip' in accepted and len(body) >= MIN_COMPRESSED_BYTES:
            body = gzip.compress(body, _COMPRESSION_LEVEL, mtime=0)
            headers.append(('Content-Encoding', 'gzip'))
        headers.append(('Content-Length', str(len(body))))
        start_response(f'{reply.status} {phrase}', headers)
        return [body]

    def _reply(self, environ):
        path = environ['PATH_INFO']
        route = self._routes.get((environ['REQUEST_METHOD'], path))
        if route is None:
            return JsonReply(404, {'reason': f'no route {path}'})
        try:
            return route(_read_request(environ))
        except errors.KingcupportError as error:
            return JsonReply(400, {'reason': str(error)})


def _read_request(environ):
    query = dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', '')))
    size_bytes = int(environ.get('CONTENT_LENGTH') or 0)
    if size_bytes > MAX_BODY_BYTES:
        raise JsonRequestError(
            f'body of {size_bytes} bytes is too large', step='read_body'
        )
    body = environ['wsgi.input'].read()
    if not body:
        return JsonRequest(query, None)
    try:
        return JsonRequest(query, json.loads(body))
    except ValueError as error:
        raise JsonRequestError(
            f'body is not JSON: {error}', step='read_body'
        ) from None
