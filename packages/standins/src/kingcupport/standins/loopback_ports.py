"""Free ports on the loopback interface."""

import socket

from kingcupport.common import address as address_module

LOOPBACK = '127.0.0.1'
# Below the range from which the system takes ports for outgoing
# connections, so that none of these takes a port before its process starts.
FIRST_PORT = 10_000
LAST_PORT = 32_000
MAX_TRIES = 1000


class LoopbackPorts:
    """Hands out ports that are free for both TCP and UDP, each once.

    Args:
        random: ``random.Random``; runs side by side need different seeds.
    """

    def __init__(self, random):
        self._random = random
        self._given = set()

    def take(self):
        """Return the Address of a free port.

        Raises:
            OSError: No free port was found.
        """
        for _ in range(MAX_TRIES):
            port = self._random.randrange(FIRST_PORT, LAST_PORT)
            if port not in self._given and _is_free(port):
                self._given.add(port)
                return address_module.Address(LOOPBACK, port)
        raise OSError(f'no free port after {MAX_TRIES} tries')


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
