"""A server that notes what it should never see."""

import platform_standin


class SoakServer(platform_standin.FlowServer):
    """Takes flows of one service and runs each request of a flow once.

    Args:
        ip: Address of its instance.
        ports: Ports by name.
        service_address: Address that clients of its service use.
        clock: Clock.
        on_run: Called with the server and the id of each request it begins.
    """

    def __init__(self, ip, ports, service_address, clock, on_run):
        self.foreign = []
        # When the first packet of each flow came.
        self.opened_ms = {}
        self._service_address = service_address
        self._clock = clock
        self._on_run = on_run
        self._answers = {}
        super().__init__(ip, ports)

    def _handle(self, data):
        client, own = platform_standin.read_ends(data)
        payload = data[platform_standin.HEADER :]
        if own != self._service_address:
            self.foreign.append((client, own))
        if data[0] == platform_standin.SYN:
            self.opened_ms.setdefault(client, self._clock.monotonic_ms())
        known = self.flows.get(client)
        if known is not None and payload:
            acknowledged = int.from_bytes(data[20:24])
            if acknowledged != known + 1:
                # The client completed the handshake with another server.
                return bytes((data[0] | platform_standin.BOUNCED,)) + data[1:]
            place = (client, int.from_bytes(data[16:20]))
            if place not in self._answers:
                self._on_run(self, bytes(payload))
                self._answers[place] = super()._handle(data)
            return self._answers[place]
        return super()._handle(data)
