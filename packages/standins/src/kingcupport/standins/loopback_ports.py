"""Free ports on the loopback interface."""

import socket

from kingcupport.common import address as address_module

LOOPBACK = '127.0.0.1'
# Below the ephemeral port range, so that no outgoing connection can occupy a
# port before the process that it is meant for has bound it.
FIRST_PORT = 10_000
LAST_PORT = 32_000
MAX_ATTEMPTS = 1000


class LoopbackPorts:
    """Allocates ports that are free for both TCP and UDP, each only once.

    Args:
        random: ``random.Random``; concurrent runs need different seeds.
    """

    def __init__(self, random):
        self._random = random
        self._allocated = set()

    def allocate(self):
        """Return the Address of a free port, which is not returned again.

        Raises:
            OSError: No free port was found.
        """
        for _ in range(MAX_ATTEMPTS):
            port = self._random.randrange(FIRST_PORT, LAST_PORT)
            if port not in self._allocated and _is_free(port):
                self._allocated.add(port)
                return address_module.Address(LOOPBACK, port)
        raise OSError(f'no free port after {MAX_ATTEMPTS} tries')


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
