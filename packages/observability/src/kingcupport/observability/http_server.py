"""HTTP server for metrics and health checks."""

import logging

import gevent
from gevent import pool
from gevent import pywsgi

LOG = logging.getLogger(__name__)

METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
# Enough for a scraper and a few operators; bounds the memory that a
# connection flood can take.
MAX_CONNECTIONS = 32
# Closes the connections of clients that send nothing.
CONNECTION_TIMEOUT_MS = 10_000

_TEXT_CONTENT_TYPE = 'text/plain; charset=utf-8'
_OK = '200 OK'
_UNAVAILABLE = '503 Service Unavailable'


def make_http_server(address, metrics, health):
    """Return a server for ``/metrics``, ``/healthz`` and ``/readyz``.

    Args:
        address: Address to listen on.
        metrics: Metrics of the process.
        health: Health of the process.

    Returns:
        A gevent ``WSGIServer``; the caller calls ``start`` (raises OSError
        when the address cannot be bound) and ``stop``.
    """
    return pywsgi.WSGIServer(
        address.as_tuple(),
        _make_application(metrics, health),
        log=None,
        error_log=LOG,
        spawn=pool.Pool(MAX_CONNECTIONS),
        handler_class=_Handler,
    )


class _Handler(pywsgi.WSGIHandler):
    """Handles one connection and closes it after CONNECTION_TIMEOUT_MS."""

    def handle(self):
        with gevent.Timeout(CONNECTION_TIMEOUT_MS / 1000, False):
            super().handle()


def _make_application(metrics, health):
    handlers = {
        '/metrics': lambda: (_OK, METRICS_CONTENT_TYPE, metrics.render()),
        '/healthz': lambda: _describe_liveness(health),
        '/readyz': lambda: _describe_readiness(health),
    }

    def application(environ, start_response):
        status, content_type, body = _respond(handlers, environ)
        headers = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(body))),
            # Idle keep-alive connections would use up MAX_CONNECTIONS.
            ('Connection', 'close'),
        ]
        start_response(status, headers)
        return [] if environ['REQUEST_METHOD'] == 'HEAD' else [body]

    return application


def _respond(handlers, environ):
    handler = handlers.get(environ['PATH_INFO'])
    if handler is None:
        known_paths = ', '.join(handlers)
        body = f'not found; known paths: {known_paths}\n'
        return '404 Not Found', _TEXT_CONTENT_TYPE, body.encode()
    if environ['REQUEST_METHOD'] not in ('GET', 'HEAD'):
        return (
            '405 Method Not Allowed',
            _TEXT_CONTENT_TYPE,
            b'only GET and HEAD\n',
        )
    return handler()


def _describe_liveness(health):
    if health.live:
        return _OK, _TEXT_CONTENT_TYPE, b'live\n'
    return (
        _UNAVAILABLE,
        _TEXT_CONTENT_TYPE,
        f'failed: {health.failure}\n'.encode(),
    )


def _describe_readiness(health):
    if health.ready:
        return _OK, _TEXT_CONTENT_TYPE, b'ready\n'
    reason = health.failure or health.reason
    return (
        _UNAVAILABLE,
        _TEXT_CONTENT_TYPE,
        f'{health.state}: {reason}\n'.encode(),
    )
