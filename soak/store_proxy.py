"""A TCP proxy on loopback that injects faults into its connections."""

import enum
import struct

import gevent
from gevent import server as gevent_server
from gevent import socket

READ_SIZE_BYTES = 65_536
DELAY_MS = 400
_LINGER_RESET = struct.pack('ii', 1, 0)


class FaultMode(enum.StrEnum):
    """Fault that the proxy injects into connections."""

    NONE = 'none'
    DELAYED = 'delayed'
    RESET = 'reset'
    CUT_ONE_WAY = 'cut_one_way'
    SILENT = 'silent'


class StoreProxy:
    """Forwards connections to the store.

    Args:
        store_address: Address of the store.

    Attributes:
        fault_mode: FaultMode of all connections, including open ones.
        address: Address it listens on.
    """

    def __init__(self, store_address):
        self.fault_mode = FaultMode.NONE
        self._store_address = store_address
        self._server = gevent_server.StreamServer(
            ('127.0.0.1', 0), self._forward
        )
        self._server.start()
        self.address = ('127.0.0.1', self._server.server_port)

    def stop(self):
        """Stop listening."""
        self._server.stop(timeout=0)

    def _forward(self, caller, _address):
        try:
            store = socket.create_connection(self._store_address)
        except OSError:
            caller.close()
            return
        tasks = [
            gevent.spawn(self._copy, caller, store, False),
            gevent.spawn(self._copy, store, caller, True),
        ]
        gevent.joinall(tasks, count=1)
        gevent.killall(tasks)
        if self.fault_mode == FaultMode.RESET:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        store.close()
        caller.close()

    def _copy(self, source, target, is_from_store):
        while True:
            try:
                data = source.recv(READ_SIZE_BYTES)
                if self.fault_mode == FaultMode.DELAYED:
                    gevent.sleep(DELAY_MS / 1000)
                if not data or self.fault_mode == FaultMode.RESET:
                    return
                if self.fault_mode == FaultMode.SILENT:
                    continue
                if self.fault_mode == FaultMode.CUT_ONE_WAY and is_from_store:
                    continue
                target.sendall(data)
            except OSError:
                return
