"""Guards against unbounded memory and long routes that go undetected."""

from kingcupport.requests import route_durations


def test_long_route_is_recognized_after_one_run():
    durations = route_durations.RouteDurations()
    for _ in range(200):
        durations.record('GET /gate', 20)
    assert not durations.is_long('GET /report')
    durations.record('GET /report', 1000)
    assert durations.is_long('GET /report')
    assert not durations.is_long('GET /gate')
    # A series of long runs does not raise the median quickly.
    for _ in range(20):
        durations.record('GET /report', 1000)
    assert durations.is_long('GET /report')


def test_routes_are_bounded():
    durations = route_durations.RouteDurations(max_routes=10)
    for number in range(1000):
        durations.record(f'GET /{number}', number)
        durations.record('GET /kept', 7)
    assert len(durations) == 10
    assert durations.expected_ms('GET /kept') == 7
