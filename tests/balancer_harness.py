"""Test harness for the data path of one balancer."""

import flow_support

from kingcupport.balancer import flow_counters
from kingcupport.balancer import flow_data_path
from kingcupport.balancer import flow_settings
from kingcupport.common import address
from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view
from kingcupport.flows import view_confirmation
from kingcupport.observability import decision_log
from kingcupport.wire import flow_datagrams

FORMAT = flow_support.FORMAT
AGENT_PORT = 8172
OWN = address.Address('10.1.0.1', 8172)
PEER = address.Address('10.1.0.1', 7720)
PROBE = address.Address('10.1.0.1', 8167)


class BalancerHarness:
    """A data path on a manual clock that records the datagrams it sends."""

    def __init__(self, servers=2, is_populated=True, evacuation_ms=0):
        self.clock = flow_support.make_clock()
        self.view = fleet_view.make_fleet_view(self.clock)
        self.to_clients = []
        self.to_agents = []
        self.revision = 10
        self.sequence = 0
        self.is_holding_calls = False
        self._held_calls = []
        self.requested_reads = []
        self.counters = flow_counters.FlowCounters()
        self.path = flow_data_path.FlowDataPath(
            flow_settings.FlowBalancerSettings(
                'b0',
                'dakar',
                OWN,
                PEER,
                PROBE,
                '/ready',
                AGENT_PORT,
                evacuation_ms=evacuation_ms,
            ),
            self.clock,
            FORMAT,
            self.view,
            self.counters,
            decision_log.make_decision_log(self.clock),
            send_to_client=lambda data, to: self.to_clients.append((data, to)),
            send_to_agent=self._send_to_agent,
            call_later=self._call_later,
            request_read=self.requested_reads.append,
        )
        self.servers = [flow_support.make_server(i) for i in range(servers)]
        if is_populated:
            self.read()
            self.settle()

    def _call_later(self, delay_ms, function):
        """Call a function at once, unless calls are held."""
        if self.is_holding_calls:
            self._held_calls.append(function)
            return
        self.clock.advance(delay_ms)
        function()

    def make_held_calls(self):
        self.is_holding_calls = False
        held_calls, self._held_calls = self._held_calls, []
        for function in held_calls:
            function()

    def _send_to_agent(self, data, destination):
        assert destination[1] == AGENT_PORT
        self.to_agents.append((flow_datagrams.decode(data), destination[0]))

    def read(self, version=1, **routes):
        self.revision += 10
        update = fleet_source.FleetUpdate(
            self.revision,
            True,
            configuration=flow_support.make_configuration(version, **routes),
            servers=self.servers,
        )
        self.view.apply_update(update, self.clock.monotonic_ms())
        for server in self.servers:
            self.report(server.ip)

    def settle(self):
        """Read until the view lists every server that may hold flows."""
        self.clock.advance(
            view_confirmation.REREGISTRATION_GRACE_MS
            + view_confirmation.SETTLING_MARGIN_MS
        )
        self.read(self.view.configuration.version)
        assert self.view.confirmation.is_complete

    def report(self, ip, running=0, boot=1):
        self.sequence += 1
        report = flow_datagrams.LoadReport(
            boot, self.sequence, 'gate', running, 0, 0, False, False, True
        )
        self.path.on_agent_datagram(report, ip)

    def client(self, flow, flags=0, **fields):
        data = FORMAT.make(flow, flags=flags, **fields)
        self.path.on_client_datagram(data, None)
        return data

    def status(self, ip, flow, holding):
        self.path.on_agent_datagram(
            flow_datagrams.FlowStatus(flow, int(holding)), ip
        )

    def result(self, search, *, holder_ip='', unanswered=()):
        flow = FORMAT.read_from_client(search.packet_data).flow
        self.path.on_agent_datagram(
            flow_datagrams.FlowSearchResult(
                flow, search.number, holder_ip, list(unanswered)
            ),
            '10.0.0.0',
        )

    def end_search(self, unanswered=()):
        """End the latest search, without a holder."""
        *_, (search, _) = self.sent(flow_datagrams.FlowSearch)
        self.result(search, unanswered=unanswered)

    def decline(self, ip, data, reason):
        self.path.on_agent_datagram(
            flow_datagrams.FlowDecline(int(reason), data), ip
        )

    def sent(self, kind=flow_datagrams.FlowEnvelope):
        found = [(d, ip) for d, ip in self.to_agents if isinstance(d, kind)]
        self.to_agents.clear()
        return found

    def open(self, flow):
        data = self.client(flow, flow_support.OPEN)
        ((_, ip),) = self.sent()
        return data, ip

    def resets(self):
        found = [FORMAT.read_from_server(data) for data, _ in self.to_clients]
        self.to_clients.clear()
        assert all(packet.is_reset for packet in found)
        return found
