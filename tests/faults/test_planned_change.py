"""Checks that callers are not affected by planned changes."""

import fault_support


def test_note_that_adds_changes_and_withdraws(harness):
    """A note changes servers and balancers, and one balancer lags behind.

    That balancer is paused during the publication, so it still routes by the
    old fleet when it resumes.
    """
    harness.start_load(duration_ms=9_000, connections_count=60, rate_per_s=80)
    fault_support.sleep_ms(1_500)
    deployment = harness.deployment
    withdrawn_server, changed_server, *_ = harness.members('ticketing')
    stale_balancer, leaving, *_ = harness.members('')
    new_server = deployment.start_backend_server('ticketing')
    new_balancer = deployment.start_balancer()
    harness.group.pause(stale_balancer.name)
    deployment.publish(
        {
            'added': deployment.entries([new_server, new_balancer]),
            'changed': {
                'backend_servers': [changed_server.entry(weight=200)],
                'balancers': [],
            },
            'withdrawn': {
                'backend_servers': [withdrawn_server.name],
                'balancers': [leaving.name],
            },
        }
    )
    fault_support.sleep_ms(1_000)
    harness.group.resume(stale_balancer.name)
    fault_support.sleep_ms(fault_support.NO_NEW_WORK_AFTER_MS - 1_000)
    runs_after_change = deployment.runs_of(withdrawn_server)
    fault_support.assert_hands_over_all_connections(harness, withdrawn_server)
    deployment.wait_in_force(
        fault_support.IN_FORCE_LIMIT_MS - fault_support.NO_NEW_WORK_AFTER_MS
    )
    report = harness.finish_load()
    fault_support.assert_callers_unaffected(report)
    assert deployment.runs_of(withdrawn_server) == runs_after_change
    assert deployment.runs_of(new_server) > 0
    fault_support.assert_exits_without_connections(harness, withdrawn_server)


def test_agent_told_to_stop_cuts_no_request(harness):
    """On SIGTERM, other agents take over the connections and answer."""
    harness.start_load(
        duration_ms=6_000,
        connections_count=40,
        rate_per_s=40,
        service_time_ms=20,
    )
    fault_support.sleep_ms(2_000)
    leaving = harness.members('ticketing')[0]
    harness.group.terminate(leaving.name)
    assert harness.group.wait(leaving.name, 15_000) == 0
    report = harness.finish_load()
    fault_support.assert_callers_unaffected(report)


def test_callers_do_not_notice_a_stopping_balancer(harness):
    harness.start_load(duration_ms=5_000, connections_count=40, rate_per_s=60)
    fault_support.sleep_ms(1_500)
    leaving = harness.members('')[0]
    harness.group.terminate(leaving.name)
    assert harness.group.wait(leaving.name, 10_000) == 0
    fault_support.assert_callers_unaffected(harness.finish_load())


def test_host_that_a_note_moves_to_another_service(harness):
    """Its connections move to the agents that remain in the service."""
    harness.start_load(duration_ms=6_000, connections_count=40, rate_per_s=60)
    fault_support.sleep_ms(1_500)
    moved = harness.members('ticketing')[0]
    harness.deployment.publish(
        {'changed': {'backend_servers': [moved.entry(service='audio')]}}
    )
    fault_support.sleep_ms(fault_support.NO_NEW_WORK_AFTER_MS)
    runs_after_change = harness.deployment.runs_of(moved)
    fault_support.assert_hands_over_all_connections(harness, moved)
    report = harness.finish_load()
    fault_support.assert_callers_unaffected(report)
    assert harness.deployment.runs_of(moved) == runs_after_change
    fault_support.assert_exits_without_connections(harness, moved)
