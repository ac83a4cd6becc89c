"""Surveys that an agent makes among the agents on behalf of balancers.

A balancer may have a slow link, and a loss of power makes it search the
holders of hundreds of flows within a second. It sends one datagram to an
agent, which asks all others and reports one result.
"""

import collections

import attrs

from kingcupport.wire import flow_datagrams

# An agent answers a probe within about 3 ms; one that has only a fraction of
# a core may answer later.
SURVEY_TIMEOUT_MS = 60
# A server that holds a flow may not send a packet of it before it has run the
# request; its agent then reports late.
RETENTION_MS = 3_000
MAX_SURVEYS = 2_048


@attrs.define
class HolderSurvey:
    """A survey about the holder of one flow.

    Args:
        flow: Bytes that identify the flow.
        balancer: ``(ip, port)`` of the balancer that asked.
        number: Number of the search at the balancer.
        unanswered: Addresses of the agents that have not answered.
        deadline_ms: When the result is reported without them, on the
            monotonic clock.
        is_reported: Whether a result was reported.
    """

    flow: bytes
    balancer: tuple
    number: int
    unanswered: set
    deadline_ms: float
    is_reported: bool = False


class HolderSurveys:
    """The surveys of one agent.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._surveys = collections.OrderedDict()
        self._unreported = {}

    def __len__(self):
        """Return the number of surveys without a result."""
        return len(self._unreported)

    def start(self, flow, balancer, number, ips):
        """Start a survey; it replaces an earlier one about the flow.

        Args:
            flow: Bytes that identify the flow.
            balancer: ``(ip, port)`` of the balancer that asks.
            number: Number of the search at the balancer.
            ips: Addresses of the agents that are probed.
        """
        self._forget(flow)
        survey = HolderSurvey(
            flow,
            balancer,
            number,
            set(ips),
            self._clock.monotonic_ms() + SURVEY_TIMEOUT_MS,
        )
        self._surveys[flow] = survey
        self._unreported[flow] = survey
        if len(self._surveys) > MAX_SURVEYS:
            self._forget(next(iter(self._surveys)))

    def on_status(self, ip, status):
        """Record the answer of an agent.

        Args:
            ip: Address of the agent.
            status: wire.flow_datagrams.FlowStatus.

        Returns:
            ``(balancer, result)`` with the FlowSearchResult to send to it, or
            None while answers are outstanding.
        """
        survey = self._surveys.get(status.flow)
        if survey is None:
            return None
        if status.holding == flow_datagrams.Holding.YES:
            return self._report(survey, ip, ())
        survey.unanswered.discard(ip)
        if survey.unanswered or survey.is_reported:
            return None
        return self._report(survey, '', ())

    def is_unanswered(self, flow, ip):
        """Whether the survey about a flow waits for the answer of an agent.

        Args:
            flow: Bytes that identify the flow.
            ip: Address of the agent.
        """
        survey = self._unreported.get(flow)
        return survey is not None and ip in survey.unanswered

    def pop_overdue(self):
        """Return ``(balancer, result)`` pairs of the surveys past deadline."""
        now_ms = self._clock.monotonic_ms()
        overdue = [
            survey
            for survey in self._unreported.values()
            if now_ms >= survey.deadline_ms
        ]
        return [
            self._report(survey, '', sorted(survey.unanswered))
            for survey in overdue
        ]

    def drop_expired(self):
        """Forget old surveys; called periodically."""
        oldest_ms = self._clock.monotonic_ms() - RETENTION_MS
        expired = [
            flow
            for flow, survey in self._surveys.items()
            if survey.is_reported and survey.deadline_ms < oldest_ms
        ]
        for flow in expired:
            self._forget(flow)

    def _report(self, survey, holder_ip, unanswered_ips):
        survey.is_reported = True
        self._unreported.pop(survey.flow, None)
        return survey.balancer, flow_datagrams.FlowSearchResult(
            survey.flow, survey.number, holder_ip, list(unanswered_ips)
        )

    def _forget(self, flow):
        self._surveys.pop(flow, None)
        self._unreported.pop(flow, None)


def make_holder_surveys(clock):
    """Return an empty set of surveys.

    Args:
        clock: Clock.
    """
    return HolderSurveys(clock)
