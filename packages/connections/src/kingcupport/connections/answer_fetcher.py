"""Fetches answers of requests that run on a connection's former owner."""

from kingcupport.connections import handed_over_requests
from kingcupport.control import peer_caller
from kingcupport.requests import answer as answer_module
from kingcupport.requests import request_runner
from kingcupport.wire import handoff_messages

CALL_TIMEOUT_MS = 1_000
FIRST_POLL_INTERVAL_MS = 5
MAX_POLL_INTERVAL_MS = 100
FETCH_GRACE_MS = 2_000
# Consecutive calls without a reply after which the former owner is considered
# dead.
MAX_CONSECUTIVE_FAILURES = 5

_Outcome = answer_module.Outcome


class AnswerFetcher(request_runner.RequestRunner):
    """Returns the answers of requests that another agent runs.

    Args:
        former_owner: Name of the agent that runs the requests.
        name: Name of this agent.
        registry: Object with ``fleet``.
        caller: PeerCaller.
        clock: Clock.
        next_runner: RequestRunner for requests that the former owner did not
            run, and for requests that may run again.
    """

    def __init__(
        self, former_owner, name, registry, caller, clock, next_runner
    ):
        self._former_owner = former_owner
        self._name = name
        self._registry = registry
        self._caller = caller
        self._clock = clock
        self._next_runner = next_runner

    def submit(self, request):
        """Return the answer from the former owner.

        The next runner runs a request that the former owner reports as not
        run, which happens when it drains. If the former owner is dead, the
        next runner runs an idempotent request again and looks a claimed one up
        by its key; any other request ends with outcome UNKNOWN.

        Args:
            request: The Request.

        Returns:
            The Answer.
        """
        # A request that must not run again has no alternative to the former
        # owner, which is therefore polled until the deadline.
        may_run_again = request.idempotent or request.needs_claim
        wait_ms = FIRST_POLL_INTERVAL_MS
        failures = 0
        now_ms = self._clock.monotonic_ms()
        # The former owner is polled for a minimum time even if the deadline
        # has passed: the answer may have been ready before the deadline and
        # wait for slower ones that precede it on its connection.
        end_ms = max(now_ms, request.deadline_ms) + FETCH_GRACE_MS
        while self._clock.monotonic_ms() < end_ms:
            reply = self._fetch(request)
            if reply is not None and reply.ready:
                return self._resolve_reply(reply, request)
            if reply is not None and not reply.known:
                break
            failures = failures + 1 if reply is None else 0
            if failures >= MAX_CONSECUTIVE_FAILURES and may_run_again:
                break
            self._clock.sleep_until(self._clock.monotonic_ms() + wait_ms)
            wait_ms = min(2 * wait_ms, MAX_POLL_INTERVAL_MS)
        if may_run_again:
            answer = self._next_runner.submit(request)
            # The former owner may have run the request, so NOT_RUN would be
            # wrong even if it was not run here.
            if answer.outcome != _Outcome.NOT_RUN:
                return answer
        return answer_module.make_refusal(
            _Outcome.UNKNOWN, f'{self._former_owner} did not tell the answer'
        )

    def _resolve_reply(self, reply, request):
        answer = handed_over_requests.answer_from_message(reply)
        if answer.outcome == _Outcome.NOT_RUN:
            return self._next_runner.submit(request)
        return answer

    def _fetch(self, request):
        now_ms = self._clock.monotonic_ms()
        message = handoff_messages.AnswerFetch(
            self._name,
            self._registry.fleet.revision,
            request.request_id,
            max(0, int(request.deadline_ms - now_ms)),
        )
        try:
            return self._caller.call(
                self._former_owner, message, now_ms + CALL_TIMEOUT_MS
            )
        except peer_caller.PeerError:
            return None
