"""Counters of an agent's data path."""

import attrs


@attrs.define
class DataPathCounters:
    """Numbers of datagrams and connections since the start.

    Args:
        datagrams: Received.
        malformed: Datagrams that could not be decoded.
        not_started: Envelopes dropped before the fleet was known.
        wrong_service: Envelopes for another service, refused.
        passed_on: Packets sent on to another agent.
        unknown_connection: Packets answered with a reset because no agent
            of the service owns the connection.
        hints_sent: Location hints sent to balancers.
        accepted: Connections accepted on OPEN.
        placed_elsewhere: OPEN packets passed on because of the load bound.
        adopted: Connections taken over from other agents.
        handed_over: Connections given to other agents.
        handoffs_aborted: Handoffs after which the connection stayed here.
        handoffs_undecided: Handoffs that ended in a reset.
        reset: Connections broken by this agent.
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
