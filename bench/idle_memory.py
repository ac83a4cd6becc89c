"""Measures memory, processor time and traffic of idle processes.

Runs a real balancer and a real agent with a fleet of design size: 5,600
hosts, 640 balancers and 520 services. This process stands in for the
configuration service and receives the revision notices: all addresses of the
fleet are in 127.0.0.0/8, and one UDP socket on the loopback interface receives
what is sent to any of them. No peer answers over TCP.

    python bench/idle_memory.py [seconds]
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import pathlib  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import agent_fabric  # noqa: E402
import gevent  # noqa: E402
import gevent.server  # noqa: E402
import gevent.socket  # noqa: E402
import idle_network  # noqa: E402
import planned_fleet  # noqa: E402
import process_figures as figures  # noqa: E402

from kingcupport.common import address as address_module  # noqa: E402
from kingcupport.common import clock as clock_module  # noqa: E402
from kingcupport.fleet import documents  # noqa: E402
from kingcupport.fleet import release_note  # noqa: E402
from kingcupport.standins import configuration_service  # noqa: E402
from kingcupport.standins import process_probe  # noqa: E402
from kingcupport.standins import published_state  # noqa: E402

# Covers three reads of the instance list, one per 20.8 s at this size.
IDLE_S = 62.4
NOTE_COUNT = 10
# Processes of a fleet of this size poll every 6.2 s with 25 % jitter.
NOTES_WAIT_S = 12
START_TIMEOUT_S = 40

LIBRARIES = (
    'gevent, msgpack, attrs, cattrs, xxhash, h11, geventhttpclient, cleo, '
    'pythonjsonlogger, aioprometheus, hdrh'
)
# Statement that a child process runs before it prints its memory, by label.
BASELINE_STATEMENTS = {
    'interpreter alone': 'pass',
    'all libraries of the project imported': f'import {LIBRARIES}',
    'balancer imported': 'import kingcupport.balancer.balancer',
    'agent imported': 'import kingcupport.agent.agent',
}


def _print_baselines():
    for name, statement in BASELINE_STATEMENTS.items():
        script = (
            f'{statement}\n'
            'import process_figures as p\n'
            "print(p.memory_kb(), p.memory_kb(key='RssAnon'))"
        )
        output = subprocess.run(
            [sys.executable, '-c', script],
            cwd=pathlib.Path(__file__).parent,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        rss_kb, anonymous_kb = output.split()
        figures.print_figure(
            f'RSS, {name}', rss_kb, 'KB', f'{anonymous_kb} KB of it anonymous'
        )


class _MeasuredStep:
    """Prints the processor time and memory growth of a step.

    The time is the mean of ``count`` repetitions.
    """

    def __init__(self, name, count=1):
        self._name = name
        self._count = count

    def __enter__(self):
        self._memory_kb = figures.memory_kb()
        self._started_s = time.process_time()

    def __exit__(self, *_):
        processor_time_ms = 1000 * (time.process_time() - self._started_s)
        grown_kb = figures.memory_kb() - self._memory_kb
        figures.print_figure(
            self._name,
            f'{processor_time_ms / self._count:.2f}',
            'ms of processor time',
            f'RSS grows by {grown_kb} KB, {self._count} times',
        )


def _print_tables():
    """Load a fleet and build its tables; runs in a process of its own."""
    from kingcupport.balancer import data_path
    from kingcupport.balancer import data_path_counters
    from kingcupport.control import fleet_registry
    from kingcupport.observability import audit_trail
    from kingcupport.routing import hint_cache
    from kingcupport.wire import packet_format

    port = 9_000
    text = sys.stdin.read()
    clock = clock_module.make_system_clock()
    registry = fleet_registry.FleetRegistry(audit_trail.AuditTrail(clock))
    with _MeasuredStep('load: parse and accept the whole fleet'):
        registry.offer_plain_fleet(json.loads(text), 'bench')
    with _MeasuredStep('load: data path of a balancer'):
        path = data_path.DataPath(
            registry.fleet,
            planned_fleet.fleet_address(1, 0, port),
            packet_format.make_packet_format(),
            lambda data, destination: None,
            hint_cache.HintCache(),
            (),
            frozenset,
            lambda datagram, source: None,
            data_path_counters.DataPathCounters(),
        )
    names = list(registry.fleet.services)
    with _MeasuredStep(f'build the tables of {len(names)} services'):
        for name in names:
            path.table(name)
    _print_note_steps(registry, path, port)


def _print_note_steps(registry, path, port):
    names = list(registry.fleet.services)
    notes = []
    fleet = registry.fleet
    for i in range(NOTE_COUNT):
        note = planned_fleet.make_note(
            fleet, planned_fleet.HOST_COUNT + i, port
        )
        fleet = release_note.apply_release_note(fleet, note)
        notes.append(release_note.note_to_dict(note))
    del fleet
    with _MeasuredStep('note: accept in the fleet keeper', NOTE_COUNT):
        fleets = []
        for note in notes:
            registry.offer_plain_note(note, 'bench')
            fleets.append(registry.fleet)
    with _MeasuredStep('note: data path of a balancer', NOTE_COUNT):
        for fleet in fleets:
            path.set_fleet(fleet)
    with _MeasuredStep('note: all tables, one service changed', 1):
        for name in names:
            path.table(name)


def _measure_tables(fleet):
    fleet_document = documents.fleet_to_dict(fleet)
    text = json.dumps(fleet_document, separators=(',', ':'))
    figures.print_figure('whole fleet as JSON', len(text), 'B')
    subprocess.run(
        [sys.executable, __file__, '--tables'],
        input=text,
        text=True,
        check=True,
    )


class Program:
    """An idle program and the relay to its configuration service.

    Args:
        package: ``balancer`` or ``agent``.
        entry_address: Address of its entry in the fleet.
        extra: Additional lines of its settings file.
        configuration: Address of the configuration service.
        directory: Directory of its settings file and log.
    """

    def __init__(
        self, package, entry_address, extra, configuration, directory
    ):
        self.package = package
        self.address = entry_address
        self.relay = idle_network.CountingRelay(configuration)
        http = address_module.Address(
            '127.0.0.1', agent_fabric.find_free_port()
        )
        path = pathlib.Path(directory) / f'{package}.toml'
        path.write_text(
            f"data_centre = 'data-centre-0'\naddress = '{entry_address}'\n"
            f"http_address = '{http}'\n"
            f"configuration_address = '{self.relay.address}'\n{extra}",
            encoding='utf-8',
        )
        self.process = figures.start_program(
            package, path, path.with_suffix('.log')
        )
        self._probe = process_probe.ProcessProbe(http)

    def wait_ready(self):
        """Wait until the program is ready; print its processor time."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self._ready():
            if time.monotonic() > deadline:
                raise SystemExit(f'{self.package} did not become ready')
            gevent.sleep(0.2)
        figures.print_figure(
            f'{self.package}: start until ready with the fleet',
            f'{figures.processor_time_s(self.process.pid):.2f}',
            's of processor time',
        )

    def _ready(self):
        try:
            return self._probe.ready()
        except process_probe.ProbeError:
            return False

    def revision(self):
        """Return the fleet revision in force in the program."""
        return self._probe.revision()

    def print_memory(self, label):
        """Print the memory of the program."""
        pid = self.process.pid
        anonymous_kb = figures.memory_kb(pid, 'RssAnon')
        peak_kb = figures.memory_kb(pid, 'VmHWM')
        figures.print_figure(
            f'{self.package}: RSS {label}',
            figures.memory_kb(pid),
            'KB',
            f'{anonymous_kb} KB of it anonymous, peak {peak_kb} KB',
        )

    def stop(self):
        """Stop the program and its relay."""
        figures.stop_program(self.process)
        self.relay.stop()


def _measure_program(program, state, notices, idle_s, port):
    try:
        program.wait_ready()
        task = gevent.spawn(notices.send_forever, program.address, state)
        gevent.sleep(2)
        program.print_memory('with the fleet')
        idle_core_share = _measure_idle(program, notices, idle_s)
        _measure_notes(program, state, idle_core_share, port)
        program.print_memory(f'after {NOTE_COUNT} notes')
        task.kill()
    finally:
        program.stop()


def _measure_idle(program, notices, idle_s):
    pid = program.process.pid
    source = program.address.as_tuple()
    cpu_s = figures.processor_time_s(pid)
    poll_bytes = program.relay.transferred_bytes
    notice_bytes = notices.received_bytes.get(source, 0)
    gevent.sleep(idle_s)
    cpu_s = figures.processor_time_s(pid) - cpu_s
    poll_bytes = program.relay.transferred_bytes - poll_bytes
    notice_bytes = notices.received_bytes.get(source, 0) - notice_bytes
    name = program.package
    figures.print_figure(
        f'{name}: idle', f'{100 * cpu_s / idle_s:.3f}', '% of a core'
    )
    figures.print_figure(
        f'{name}: configuration service, both directions',
        f'{poll_bytes / idle_s:.0f}',
        'B/s',
        'instance list included; TCP headers estimated',
    )
    figures.print_figure(
        f'{name}: revision notices sent',
        f'{notice_bytes / idle_s:.0f}',
        'B/s',
        'as many are received',
    )
    figures.print_figure(
        f'{name}: control traffic',
        f'{(poll_bytes + 2 * notice_bytes) / idle_s:.0f}',
        'B/s',
        'sent and received',
    )
    return cpu_s / idle_s


def _measure_notes(program, state, idle_core_share, port):
    pid = program.process.pid
    poll_bytes = program.relay.transferred_bytes
    cpu_s = figures.processor_time_s(pid)
    for _ in range(NOTE_COUNT):
        number = len(state.fleet.backend_servers)
        state.publish(planned_fleet.make_note(state.fleet, number, port))
    gevent.sleep(NOTES_WAIT_S)
    cpu_s = figures.processor_time_s(pid) - cpu_s
    poll_bytes = program.relay.transferred_bytes - poll_bytes
    if program.revision() != state.fleet.revision:
        raise SystemExit(f'{program.package} has not accepted the notes')
    figures.print_figure(
        f'{program.package}: one note',
        f'{1000 * (cpu_s - idle_core_share * NOTES_WAIT_S) / NOTE_COUNT:.1f}',
        'ms of processor time',
        f'{NOTE_COUNT} notes in one poll, idle time subtracted; '
        f'{poll_bytes} B with the polls of {NOTES_WAIT_S} s',
    )


def _measure_programs(directory, fleet, idle_s, port):
    clock = clock_module.make_system_clock()
    notices = idle_network.NoticePeers(port)
    agent_settings = (
        "name = 'host-0000'\nservice = 'service-000'\n"
        f"server_address = '{planned_fleet.fleet_address(4, 0, 8000)}'\n"
    )
    programs = {
        'balancer': (
            fleet.balancers['balancer-000'].address,
            "name = 'balancer-000'\n",
        ),
        'agent': (
            fleet.backend_servers['host-0000'].agent_address,
            agent_settings,
        ),
    }
    for package, (entry_address, extra) in programs.items():
        state = published_state.PublishedState(clock)
        state.publish_fleet(fleet)
        standin = configuration_service.ConfigurationService(
            address_module.Address('127.0.0.1', agent_fabric.find_free_port()),
            state,
            clock,
        )
        standin.start()
        program = Program(
            package, entry_address, extra, standin.address, directory
        )
        _measure_program(program, state, notices, idle_s, port)
        standin.stop()


def main():
    """Run every measurement."""
    if '--tables' in sys.argv:
        _print_tables()
        return
    idle_s = float(sys.argv[1]) if len(sys.argv) > 1 else IDLE_S
    port = agent_fabric.find_free_port()
    fleet = planned_fleet.make_fleet(port, agent_fabric.find_free_port())
    _print_baselines()
    _measure_tables(fleet)
    with tempfile.TemporaryDirectory() as directory:
        _measure_programs(directory, fleet, idle_s, port)


if __name__ == '__main__':
    main()
