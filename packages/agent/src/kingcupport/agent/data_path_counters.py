"""Counters of an agent's data path."""

import attrs


@attrs.define
class DataPathCounters:
    """Totals of datagrams and connections since the process started.

    Args:
        datagrams: Datagrams received.
        malformed: Datagrams that could not be decoded.
        not_started: Envelopes dropped before the fleet was known.
        wrong_service: Packets of another service, which are forwarded to an
            agent of that service if there is one.
        passed_on: Packets sent on to another agent.
        unknown_connection: Packets answered with a reset because no agent
            of the service owns the connection.
        hints_sent: Location hints sent to balancers.
        accepted: Connections accepted on OPEN.
        placed_elsewhere: OPEN packets passed on because this agent exceeded
            its load bound.
        adopted: Connections adopted from other agents.
        handed_over: Connections handed over to other agents.
        handoffs_aborted: Handoffs after which this agent kept the
            connection.
        handoffs_undecided: Handoffs without a decision of the receiver, after
            which the connection was reset.
        reset: Connections reset by this agent.
    """

    datagrams: int = 0
    malformed: int = 0
    not_started: int = 0
    wrong_service: int = 0
    passed_on: int = 0
    unknown_connection: int = 0
    hints_sent: int = 0
    accepted: int = 0
    placed_elsewhere: int = 0
    adopted: int = 0
    handed_over: int = 0
    handoffs_aborted: int = 0
    handoffs_undecided: int = 0
    reset: int = 0
