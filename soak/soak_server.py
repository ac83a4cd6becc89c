"""A server that records flows which should not reach it."""

import platform_standin


class SoakServer(platform_standin.FlowServer):
    """Accepts flows of one service and runs each request of a flow once.

    Args:
        ip: Address of its instance.
        ports: Ports by name.
        service_address: Address that clients of its service use.
        clock: Clock.
        on_run: Called with the server and the id of each request it starts.
    """

    def __init__(self, ip, ports, service_address, clock, on_run):
        self.foreign_flows = []
        # Arrival time of the first packet of each flow, by client.
        self.opened_ms = {}
        self._service_address = service_address
        self._clock = clock
        self._on_run = on_run
        self._answers = {}
        super().__init__(ip, ports)

    def _handle(self, data):
        client, destination = platform_standin.read_ends(data)
        payload = data[platform_standin.HEADER :]
        is_foreign = destination != self._service_address
        # Agents that do not know their server's flows yet hand it later
        # packets of any flow; it returns those of flows that it does not hold.
        if is_foreign and (
            data[0] == platform_standin.SYN or client in self.flows
        ):
            self.foreign_flows.append((client, destination, data[0]))
        if data[0] == platform_standin.SYN:
            self.opened_ms.setdefault(client, self._clock.monotonic_ms())
        first_sequence = self.flows.get(client)
        if first_sequence is not None and payload:
            acknowledged = int.from_bytes(data[20:24])
            if acknowledged != first_sequence + 1:
                # The client completed its handshake with another server.
                return bytes((data[0] | platform_standin.BOUNCED,)) + data[1:]
            request_key = (client, int.from_bytes(data[16:20]))
            if request_key not in self._answers:
                self._on_run(self, bytes(payload))
                self._answers[request_key] = super()._handle(data)
            return self._answers[request_key]
        return super()._handle(data)
