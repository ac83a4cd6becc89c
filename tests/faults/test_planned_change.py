"""Checks that callers are not affected by planned changes."""

import fault_support


def test_note_that_adds_changes_and_withdraws(bed):
    """A note changes servers and balancers, and one balancer lags behind.

    That balancer is paused during the publication, so it still routes by the
    old fleet when it resumes.
    """
    bed.start_load(duration_ms=9_000, connections_count=60, rate_per_s=80)
    fault_support.sleep_ms(1_500)
    deployment = bed.deployment
    withdrawn_server, changed_server, *_ = bed.members('ticketing')
    stale_balancer, leaving, *_ = bed.members('')
    new_server = deployment.start_backend_server('ticketing')
    new_balancer = deployment.start_balancer()
    bed.group.pause(stale_balancer.name)
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
    bed.group.resume(stale_balancer.name)
    fault_support.sleep_ms(fault_support.NO_NEW_WORK_AFTER_MS - 1_000)
    runs_after_change = deployment.runs_of(withdrawn_server)
    fault_support.assert_hands_over_all_connections(bed, withdrawn_server)
    deployment.wait_in_force(
        fault_support.IN_FORCE_LIMIT_MS - fault_support.NO_NEW_WORK_AFTER_MS
    )
    report = bed.finish_load()
    fault_support.assert_callers_unaffected(report)
    assert deployment.runs_of(withdrawn_server) == runs_after_change
    assert deployment.runs_of(new_server) > 0
    fault_support.assert_exits_without_connections(bed, withdrawn_server)


def test_agent_told_to_stop_cuts_no_request(bed):
    """On SIGTERM, other agents take over the connections and answer."""
    bed.start_load(
        duration_ms=6_000,
        connections_count=40,
        rate_per_s=40,
        service_time_ms=20,
    )
    fault_support.sleep_ms(2_000)
    leaving = bed.members('ticketing')[0]
    bed.group.terminate(leaving.name)
    assert bed.group.wait(leaving.name, 15_000) == 0
    report = bed.finish_load()
    fault_support.assert_callers_unaffected(report)


def test_callers_do_not_notice_a_stopping_balancer(bed):
    bed.start_load(duration_ms=5_000, connections_count=40, rate_per_s=60)
    fault_support.sleep_ms(1_500)
    leaving = bed.members('')[0]
    bed.group.terminate(leaving.name)
    assert bed.group.wait(leaving.name, 10_000) == 0
    fault_support.assert_callers_unaffected(bed.finish_load())


def test_host_that_a_note_moves_to_another_service(bed):
    """Its connections move to the agents that remain in the service."""
    bed.start_load(duration_ms=6_000, connections_count=40, rate_per_s=60)
    fault_support.sleep_ms(1_500)
    moved = bed.members('ticketing')[0]
    bed.deployment.publish(
        {'changed': {'backend_servers': [moved.entry(service='audio')]}}
    )
    fault_support.sleep_ms(fault_support.NO_NEW_WORK_AFTER_MS)
    runs_after_change = bed.deployment.runs_of(moved)
    fault_support.assert_hands_over_all_connections(bed, moved)
    report = bed.finish_load()
    fault_support.assert_callers_unaffected(report)
    assert bed.deployment.runs_of(moved) == runs_after_change
    fault_support.assert_exits_without_connections(bed, moved)
