"""Runs commands in the test process and serves test peers for them."""

import contextlib
import json

import attrs
import cleo.io.inputs.argv_input
import cleo.io.outputs.buffered_output
from gevent import server as gevent_server

from kingcupport.cli import application
from kingcupport.common import address
from kingcupport.wire import control_messages
from kingcupport.wire import peer_stream

NOTE_1 = """\
revision = 1
base = 0
base_digest = "e3b0c44298fc1c149afbf4c8996fb924"

[[added.services]]
name = "gate"
address = "192.0.2.10:443"

[[added.balancers]]
name = "balancer-1"
address = "192.0.2.20:7000"
data_centre = "dakar-plateau"

[[added.backend_servers]]
name = "gate-1"
service = "gate"
agent_address = "192.0.2.30:7000"
server_address = "192.0.2.30:8080"
data_centre = "dakar-plateau"
"""


@attrs.frozen
class CommandResult:
    """Exit code and captured output of a command."""

    exit_code: int
    output: str
    errors: str

    @property
    def document(self):
        """The JSON document that the command printed."""
        return json.loads(self.output)


def run(*arguments):
    """Run the program with arguments and return a CommandResult."""
    output = cleo.io.outputs.buffered_output.BufferedOutput()
    errors = cleo.io.outputs.buffered_output.BufferedOutput()
    argv = ['kingcupport', *map(str, arguments)]
    code = application.make_application().run(
        cleo.io.inputs.argv_input.ArgvInput(argv), output, errors
    )
    return CommandResult(code, output.fetch(), errors.fetch())


def assert_error_line(result, exit_code, *words):
    """Check that a command failed with one error line and no output."""
    assert result.exit_code == exit_code
    assert result.output == ''
    assert result.errors.count('\n') == 1
    assert result.errors.startswith('kingcupport: ')
    for word in words:
        assert word in result.errors


@contextlib.contextmanager
def serve_peer(handle):
    """Serve connections with ``handle(sock)``; yields the Address."""

    def handle_connection(sock, _address):
        with sock:
            handle(sock)

    server = gevent_server.StreamServer(('127.0.0.1', 0), handle_connection)
    server.start()
    try:
        yield address.Address('127.0.0.1', server.server_port)
    finally:
        server.stop()


def make_reply_handler(make_reply):
    """Return a connection handler that replies ``make_reply(request)``."""

    def handle(sock):
        stream = peer_stream.PeerStream(sock, 'test')
        request = stream.receive()
        if request is not None:
            stream.send(make_reply(request))

    return handle


def make_status_handler(name, revision, digest='d', conflicts=()):
    """Return a connection handler that replies with a StatusReply."""
    reply = control_messages.StatusReply(
        name, revision, digest, 'ready', list(conflicts), {'connections': 3}
    )
    return make_reply_handler(lambda _request: reply)
