"""Gets the answers of requests that run at a connection's former owner."""

from kingcupport.connections import lent_runs
from kingcupport.control import peer_caller
from kingcupport.requests import answer as answer_module
from kingcupport.requests import request_runner
from kingcupport.wire import handoff_messages

CALL_TIMEOUT_MS = 1_000
FIRST_WAIT_MS = 5
MAX_WAIT_MS = 100
FETCH_GRACE_MS = 2_000
# Calls in a row without a reply after which the former owner counts as dead.
MAX_FAILURES = 5

_Outcome = answer_module.Outcome


class AnswerFetcher(request_runner.RequestRunner):
    """Stands in for the runner of requests that another agent runs.

    Args:
        owner: Name of the former owner, where the request runs.
        name: Name of this agent.
        keeper: Object with ``fleet``.
        caller: PeerCaller.
        clock: Clock.
        next_runner: RequestRunner for idempotent requests that have to run
            again.
    """

    def __init__(self, owner, name, keeper, caller, clock, next_runner):
        self._owner = owner
        self._name = name
        self._keeper = keeper
        self._caller = caller
        self._clock = clock
        self._next_runner = next_runner

    def submit(self, request):
        """Return the answer from the former owner.

        A request that the former owner certainly did not run, because it
        drains, is run by the next runner. When the former owner died, an
        idempotent request runs again, a claimed one is looked up under its
        key, and any other request ends as unknown.
        """
        # Any other request has nothing to lose by asking until its deadline.
        may_run_again = request.idempotent or request.claimed
        wait_ms = FIRST_WAIT_MS
        failures = 0
        now_ms = self._clock.monotonic_ms()
        # Asked at least for a while: the answer may have come before the
        # deadline and wait behind slower ones of its connection.
        end_ms = max(now_ms, request.deadline_ms) + FETCH_GRACE_MS
        while self._clock.monotonic_ms() < end_ms:
            reply = self._fetch(request)
            if reply is not None and reply.ready:
                return self._use(reply, request)
            if reply is not None and not reply.known:
                break
            failures = failures + 1 if reply is None else 0
            if failures >= MAX_FAILURES and may_run_again:
                break
            self._clock.sleep_until(self._clock.monotonic_ms() + wait_ms)
            wait_ms = min(2 * wait_ms, MAX_WAIT_MS)
        if may_run_again:
            answer = self._next_runner.submit(request)
            # The former owner may have run it, whatever happened here.
            if answer.outcome != _Outcome.NOT_RUN:
                return answer
        return answer_module.make_refusal(
            _Outcome.UNKNOWN, f'{self._owner} did not tell the answer'
        )

    def _use(self, reply, request):
        answer = lent_runs.answer_from_message(reply)
        if answer.outcome == _Outcome.NOT_RUN:
            return self._next_runner.submit(request)
        return answer

    def _fetch(self, request):
        now_ms = self._clock.monotonic_ms()
        message = handoff_messages.AnswerFetch(
            self._name,
            self._keeper.fleet.revision,
            request.request_id,
            max(0, int(request.deadline_ms - now_ms)),
        )
        try:
            return self._caller.call(
                self._owner, message, now_ms + CALL_TIMEOUT_MS
            )
        except peer_caller.PeerError:
            return None
