"""Tests the surveys that agents make for balancers."""

import flow_support
import pytest

from kingcupport.flows import holder_survey
from kingcupport.wire import flow_datagrams

FLOW = flow_support.make_flow(1)
BALANCER = ('10.1.0.1', 7720)
NUMBER = 7


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def surveys(clock):
    surveys = holder_survey.make_holder_surveys(clock)
    surveys.start(FLOW, BALANCER, NUMBER, {'a', 'b'})
    return surveys


def answer(surveys, ip, holding):
    return surveys.on_status(ip, flow_datagrams.FlowStatus(FLOW, int(holding)))


def make_result(holder_ip='', unanswered=()):
    return flow_datagrams.FlowSearchResult(
        FLOW, NUMBER, holder_ip, list(unanswered)
    )


def test_the_holder_is_reported_at_once(surveys):
    report = answer(surveys, 'b', flow_datagrams.Holding.YES)
    assert report == (BALANCER, make_result('b'))
    assert answer(surveys, 'a', flow_datagrams.Holding.NO) is None


def test_no_holder_is_reported_after_the_last_answer(surveys):
    assert answer(surveys, 'a', flow_datagrams.Holding.NO) is None
    assert answer(surveys, 'a', flow_datagrams.Holding.NO) is None
    assert len(surveys) == 1
    report = answer(surveys, 'b', flow_datagrams.Holding.NO)
    assert report == (BALANCER, make_result())
    assert len(surveys) == 0


def test_missing_answers_are_reported_after_the_timeout(surveys, clock):
    answer(surveys, 'a', flow_datagrams.Holding.NO)
    assert surveys.pop_overdue() == []
    clock.advance(holder_survey.SURVEY_TIMEOUT_MS)
    assert surveys.pop_overdue() == [(BALANCER, make_result('', ['b']))]
    assert surveys.pop_overdue() == []
    # A server may answer only after it has run the request.
    report = answer(surveys, 'b', flow_datagrams.Holding.YES)
    assert report == (BALANCER, make_result('b'))
    clock.advance(holder_survey.RETENTION_MS + 1)
    surveys.drop_expired()
    assert answer(surveys, 'b', flow_datagrams.Holding.YES) is None


def test_surveys_are_bounded(surveys):
    for number in range(holder_survey.MAX_SURVEYS):
        surveys.start(b'%d' % number, BALANCER, number, {'a'})
    assert len(surveys) == holder_survey.MAX_SURVEYS
    assert answer(surveys, 'b', flow_datagrams.Holding.YES) is None
