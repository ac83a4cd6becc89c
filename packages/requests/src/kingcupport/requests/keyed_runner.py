"""At-most-once execution of requests that carry an idempotency key."""

import itertools

import gevent

from kingcupport.control import peer_caller
from kingcupport.requests import answer as answer_module
from kingcupport.requests import claim_client
from kingcupport.requests import claim_context
from kingcupport.requests import claim_handlers
from kingcupport.requests import claim_handover
from kingcupport.requests import claim_index
from kingcupport.requests import claim_rebuild
from kingcupport.requests import claim_record
from kingcupport.requests import keyed_results
from kingcupport.requests import pause_detector
from kingcupport.requests import request_runner
from kingcupport.wire import claim_messages

MAX_KEY_BYTES = 255
RESULT_CALL_TIMEOUT_MS = 1000
# The holder is polled because peer server handlers must not block.
FIRST_POLL_WAIT_MS = 5
MAX_POLL_WAIT_MS = 100
# Consecutive calls without a reply before a holder counts as unreachable.
MAX_CONSECUTIVE_HOLDER_FAILURES = 3

_Outcome = answer_module.Outcome
_State = keyed_results.HeldState


class KeyedRequestRunner(request_runner.RequestRunner):
    """Claims each keyed request before it passes it to the next runner.

    The owning program uses it in this order:

    1. Build it with ``make_keyed_request_runner`` once the first fleet has
       been read and compared with peers.
    2. Register ``handlers`` with the peer server, then call ``start``.
    3. When its host is withdrawn or on SIGTERM, hand connections off, then
       call ``drain`` and exit when it returns.
    4. Call ``stop`` last.

    The next runner calls ``may_run`` before it starts claimed requests that
    it had queued. ``ready`` is for monitoring and must not gate readiness:
    after a second restart it stays false for the retention time, while other
    requests are still served.

    Args:
        next_runner: RequestRunner that runs claimed and unclaimed requests.
        context: ClaimContext.
        index: ClaimIndex.
        results: KeyedResults.
        rebuild: ClaimRebuild.
        detector: PauseDetector.
    """

    def __init__(
        self, next_runner, context, index, results, rebuild, detector
    ):
        self._next_runner = next_runner
        self._context = context
        self._index = index
        self._results = results
        self._rebuild = rebuild
        self._detector = detector
        self._handover = claim_handover.ClaimHandover(
            context, index, results, rebuild
        )
        self._handlers = claim_handlers.ClaimHandlers(
            context, index, results, rebuild, detector, self._handover
        )
        self._client = claim_client.ClaimClient(
            context, index, rebuild, detector, self._handlers.grant
        )
        self._attempt_numbers = itertools.count()
        self._closing = False
        self._tasks = []
        self._run_tasks = set()

    @property
    def handlers(self):
        """Handlers to register: ``{message class: handler(message, peer)}``.

        Each handler returns the reply message.
        """
        return self._handlers.handlers()

    @property
    def ready(self):
        """Whether this agent can claim keys and grant all of its own."""
        return self._rebuild.may_hold_claims() and self._rebuild.complete

    def figures(self):
        """Return integer gauges by metric name."""
        return {
            'claims': len(self._index),
            'kept_result_bytes': self._results.used_bytes,
            'keyed_running': len(self._run_tasks),
            'claims_complete': int(self.ready),
        }

    def may_run(self):
        """Return whether claimed requests may start now; False after a pause.

        The next runner calls this before it starts claimed requests that it
        had queued.
        """
        self._detector.check()
        return not self._rebuild.paused

    def start(self):
        """Spawn the heartbeat task and the rebuild task."""
        self._tasks = [
            gevent.spawn(self._detector.run),
            gevent.spawn(self._rebuild.run),
        ]

    def stop(self):
        """Kill all tasks immediately, including those that run requests."""
        gevent.killall([*self._tasks, *self._run_tasks], block=False)

    def drain(self, deadline_ms):
        """Wait for running requests, then hand all records to the peers.

        Args:
            deadline_ms: Monotonic deadline for the wait and the handover.

        Returns:
            Names of the peers that did not receive all of their records.
        """
        self._closing = True
        clock = self._context.clock
        while (
            self._unfinished_attempts() and clock.monotonic_ms() < deadline_ms
        ):
            clock.sleep_until(clock.monotonic_ms() + MAX_POLL_WAIT_MS)
        return self._handover.send_all(deadline_ms)

    def submit(self, request):
        """Run a request, at most once if it carries a key.

        Args:
            request: The Request.

        Returns:
            The Answer. Status 422 (the key was used for another request) and
            400 (the key is too long) reject this request only.
        """
        if not request.needs_claim:
            return self._next_runner.submit(request)
        if len(request.idempotency_key.encode()) > MAX_KEY_BYTES:
            return _reject(400, f'the key exceeds {MAX_KEY_BYTES} bytes')
        fingerprint = claim_record.compute_fingerprint(request)
        answer = None
        while answer is None:
            held = self._results.get(request.idempotency_key)
            if held is not None:
                answer = self._answer_from_attempt(held, request, fingerprint)
            elif self._closing:
                answer = _unknown('this agent is draining')
            elif self._context.now_ms() >= request.deadline_ms:
                answer = _unknown('the deadline passed during the claim')
            else:
                answer = self._claim_and_run(request, fingerprint)
        return answer

    def _unfinished_attempts(self):
        return [h for h in self._results.held() if not h.decided.is_set()]

    def _answer_from_attempt(self, held, request, fingerprint):
        """Return the answer of a local attempt, or None if it was released."""
        claiming = held.state == _State.CLAIMING
        if not claiming and held.fingerprint != fingerprint:
            return _reject_other_request()
        self._wait_until_decided(held, request.deadline_ms)
        if held.state == _State.RELEASED:
            return None
        if held.state != _State.CLAIMING and held.fingerprint != fingerprint:
            return _reject_other_request()
        if held.state == _State.ANSWERED:
            return held.answer
        if held.state == _State.UNKNOWN:
            return _unknown('an earlier attempt may have run')
        return _unknown('an earlier attempt is still running')

    def _wait_until_decided(self, held, deadline_ms):
        if held.decided.is_set():
            return
        timer = gevent.spawn(self._context.clock.sleep_until, deadline_ms)
        try:
            gevent.wait([held.decided, timer], count=1)
        finally:
            timer.kill(block=False)

    def _claim_and_run(self, request, fingerprint):
        """Claim the key and run the request; None means look it up again."""
        key = request.idempotency_key
        incarnation = self._context.incarnation
        attempt = (
            f'{self._context.name}:{incarnation}:{next(self._attempt_numbers)}'
        )
        held = self._results.begin(key, fingerprint, attempt)
        try:
            claim = self._client.acquire(
                key, fingerprint, attempt, request.deadline_ms
            )
            started = self._reserve(claim, held)
        except BaseException:
            self._abandon(held)
            raise
        if started:
            return self._run_detached(request, held)
        if isinstance(claim, claim_client.Granted):
            self._abandon(held)
            return answer_module.make_refusal(
                _Outcome.NOT_RUN, 'no room for another kept answer'
            )
        self._results.release(held)
        if isinstance(claim, claim_client.Refused):
            return answer_module.make_refusal(claim.outcome, claim.reason)
        return self._answer_from_holder(claim.record, request, fingerprint)

    def _reserve(self, claim, held):
        granted = isinstance(claim, claim_client.Granted)
        return granted and self._results.start(held)

    def _abandon(self, held):
        self._results.release(held)
        self._client.release(held.key, held.attempt)

    def _run_detached(self, request, held):
        """Run the request in its own task, which outlives the connection.

        A caller that lost its connection retries under the same key and needs
        the answer.
        """
        task = gevent.spawn(self._run_claimed, request, held)
        self._run_tasks.add(task)
        task.link(self._run_tasks.discard)
        held.decided.wait()
        if held.state == _State.RELEASED:
            return held.answer
        if held.answer is None:
            return _unknown('the request may have run')
        return held.answer

    def _run_claimed(self, request, held):
        answer = None
        try:
            answer = self._next_runner.submit(request)
        finally:
            self._record_outcome(held, answer)

    def _record_outcome(self, held, answer):
        expires_ms = self._context.now_ms() + self._context.retention_ms
        if answer is None or answer.outcome == _Outcome.UNKNOWN:
            self._results.keep_unknown(held, expires_ms)
        elif answer.outcome == _Outcome.NOT_RUN:
            held.answer = answer
            self._abandon(held)
        elif not self._results.keep_answer(held, answer, expires_ms):
            held.answer = answer

    def _answer_from_holder(self, record, request, fingerprint):
        """Get the answer from the holder; None if the attempt was released."""
        if record.fingerprint != fingerprint:
            return _reject_other_request()
        wait_ms = FIRST_POLL_WAIT_MS
        failures = 0
        clock = self._context.clock
        while failures < MAX_CONSECUTIVE_HOLDER_FAILURES:
            reply = self._ask_holder(record, request.deadline_ms)
            failures = failures + 1 if reply is None else 0
            if reply is not None and reply.state != 'pending':
                return self._answer_from_reply(reply, record)
            if clock.monotonic_ms() >= request.deadline_ms:
                return _unknown('an earlier attempt is still running')
            wake_ms = min(request.deadline_ms, clock.monotonic_ms() + wait_ms)
            clock.sleep_until(wake_ms)
            wait_ms = min(2 * wait_ms, MAX_POLL_WAIT_MS)
        return _unknown(f'{record.holder}, which ran the request, is away')

    def _ask_holder(self, record, deadline_ms):
        context = self._context
        message = claim_messages.ResultRequest(
            context.name, context.revision, record.key, record.attempt
        )
        call_deadline_ms = context.now_ms() + RESULT_CALL_TIMEOUT_MS
        call_deadline_ms = min(deadline_ms, call_deadline_ms)
        if record.holder == context.name:
            handler = self.handlers[claim_messages.ResultRequest]
            return handler(message, context.name)
        try:
            return context.caller.call(
                record.holder, message, call_deadline_ms
            )
        except peer_caller.PeerError:
            return None

    def _answer_from_reply(self, reply, record):
        if reply.state == 'answered':
            headers = tuple((bytes(n), bytes(v)) for n, v in reply.headers)
            return answer_module.Answer(reply.status, headers, reply.body)
        if reply.incarnation != record.holder_incarnation:
            return _unknown('the agent that ran the request was restarted')
        if reply.state == 'unknown':
            return _unknown('an earlier attempt may have run')
        # The same incarnation of the holder no longer knows the attempt, so
        # the attempt was released and the release message was lost.
        self._client.release_abandoned(record.key, record.attempt)
        clock = self._context.clock
        clock.sleep_until(clock.monotonic_ms() + FIRST_POLL_WAIT_MS)
        return None


def make_keyed_request_runner(
    *,
    name,
    service,
    registry,
    first_observed_revision,
    instance_list,
    caller,
    clock,
    rng,
    next_runner,
    max_claims=claim_index.DEFAULT_MAX_CLAIMS,
    max_result_bytes=keyed_results.DEFAULT_MAX_RESULT_BYTES,
):
    """Build a KeyedRequestRunner with all of its collaborators.

    Args:
        name: Name of the agent.
        service: Name of its service.
        registry: Object with ``fleet`` and
            ``add_accept_callback(callback)``; callbacks receive the previous
            and the new fleet.
        first_observed_revision: First revision that this process saw in
            force after querying the configuration service and its peers.
        instance_list: Object with ``states() -> {name: state}``, see
            ClaimInstanceList.
        caller: PeerCaller; must also reach withdrawn hosts while they drain.
        clock: Clock.
        rng: random.Random, for the incarnation of this process.
        next_runner: RequestRunner that runs the requests.
        max_claims: Maximum number of claims in the index.
        max_result_bytes: Limit on the bytes of kept and pending answers.
    """
    context = claim_context.ClaimContext(
        name=name,
        service=service,
        registry=registry,
        instance_list=instance_list,
        caller=caller,
        clock=clock,
        incarnation=rng.getrandbits(63),
    )
    index = claim_index.ClaimIndex(clock, max_claims)
    results = keyed_results.KeyedResults(clock, max_result_bytes)
    rebuild = claim_rebuild.ClaimRebuild(
        context, index, first_observed_revision
    )
    detector = pause_detector.PauseDetector(clock, rebuild.on_pause)
    return KeyedRequestRunner(
        next_runner, context, index, results, rebuild, detector
    )


def _unknown(reason):
    return answer_module.make_refusal(_Outcome.UNKNOWN, reason)


def _reject_other_request():
    return _reject(422, 'the key was used for another request')


def _reject(status, reason):
    headers = ((b'content-type', b'text/plain; charset=utf-8'),)
    body = reason.encode() + b'\n'
    return answer_module.Answer(status, headers, body, _Outcome.NOT_RUN)
