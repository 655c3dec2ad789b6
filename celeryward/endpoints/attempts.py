"""State of one request over all its dispatches."""

import dataclasses
import functools
import uuid

from celeryward import calls
from celeryward.endpoints import crashes
from celeryward.endpoints import fingerprints
from celeryward.endpoints import prefixes
from celeryward.endpoints import protocol
from celeryward.endpoints import request_content
from celeryward import errors


class Attempt:
    """State of one request over all its dispatches.

    It holds the endpoints that were tried, the chunks that were passed on to
    the caller and the runs to bill. Among its attributes:

    - ``emitted_payloads``: payloads of the chunks that were passed on.
    - ``candidate``: endpoint and version of the last dispatch.
    - ``may_have_run``: whether any dispatch may have run.
    - ``on_probation``: whether the last dispatch is a suspect's probation.
    - ``endpoint_crashed``: whether the last dispatch ended in a crash of its
      endpoint.
    - ``retry_candidates``: tried endpoints that may be retried, because only
      the connection failed.
    - ``past_retry_candidates``: endpoints that were retry candidates before;
      each becomes one only once.
    - ``trial``: the :class:`culprits.Culprit` whose trial the request is, or
      None.
    - ``digests``: digests of the prompt's prefixes, shortest first.

    :param calls.Call call: the request.
    :param str model: name of the model or service.
    :param str pinned_version: the only version that may run it; empty for any.
    :param select_version: function that returns the
        :class:`version_selection.VersionChoice` to change to if the version
        is withdrawn or revoked before any token was passed on. None ends the
        request instead.
    """

    def __init__(self, call, model, pinned_version='', select_version=None):
        self.call = call
        self.model = model
        self.pinned_version = pinned_version
        self.select_version = select_version
        self.tried = frozenset()
        self.dispatches = 0
        self.emitted_payloads = []
        self.emitted_tokens = 0
        self.candidate = None
        self.runs = []
        self.finished = False
        self.billed = False
        self.may_have_run = False
        self.on_probation = False
        self.endpoint_crashed = False
        self.past_retry_candidates = frozenset()
        self.retry_candidates = frozenset()
        self.digests = ()
        if isinstance(call.request, calls.ChatRequest):
            self.digests = prefixes.digest_prefixes(call.request.prompt())
        self.dispatched_at = 0.0
        self.trial = None

    @functools.cached_property
    def fingerprint(self):
        """The fingerprint of the prompt, computed on first use."""
        return fingerprints.fingerprint_request(self.model, self.call.request)

    @functools.cached_property
    def traits(self):
        """The :class:`crashes.RequestTraits`, computed on first use."""
        return crashes.RequestTraits(
            request_content.read_content(
                self.model, self.call.request
            ).fingerprint(),
            fingerprints.shared_messages(self.call.request),
        )

    @property
    def version(self):
        """Name of the version selected for the last dispatch."""
        return self.candidate.version.name

    def change_version(self):
        """Select another version for the request.

        :raises errors.NotRun: if there is none.
        """
        self.pinned_version = self.select_version().pinned_version

    def undispatched_error(self, error):
        """Return the error to report when no further dispatch is made.

        If an earlier dispatch may have run, an error that means "not run" is
        replaced by :class:`errors.OutcomeUnknown`.
        """
        says_not_run = error.execution is errors.Execution.NOT_RUN
        if not self.may_have_run or not says_not_run:
            return error
        return errors.OutcomeUnknown(
            f'the request may have run: {error.message}',
            step=error.step,
            peer=error.peer,
        )

    def add_chunk(self, chunk):
        """Record a chunk that is passed on to the caller."""
        self.emitted_payloads.append(chunk.payload)
        self.emitted_tokens += chunk.tokens

    def dispatched_call(self):
        """Return the call with a request id unique to this dispatch.

        Retries and the tiers of a cascade share a request id, and callers
        may choose equal ones. With unique ids, a late response to one
        dispatch is not taken for the response to another.
        """
        request_id = f'{self.call.request_id}.{uuid.uuid4().hex[:12]}'
        return dataclasses.replace(self.call, request_id=request_id)

    def allow_retry_candidates(self):
        """Allow another try at live endpoints whose connection failed.

        :returns: whether there are any.
        """
        retry_candidates, self.retry_candidates = (
            self.retry_candidates,
            frozenset(),
        )
        self.tried -= retry_candidates
        return bool(retry_candidates)

    def resume_point(self):
        """Return the :class:`protocol.ResumePoint`, None before any token."""
        if not self.emitted_tokens:
            return None
        return protocol.resume_point(b''.join(self.emitted_payloads))

    def add_run(self, usage):
        """Record the usage and cost of one run."""
        version = self.candidate.version
        cost = version.cost(usage.prompt_tokens, usage.answer_tokens)
        endpoint = self.candidate.endpoint.name
        self.runs.append(calls.Run(version.name, endpoint, usage, cost))

    def add_partial_run(self):
        """Record the tokens passed on that no recorded run covers."""
        resume = self.resume_point()
        tokens = (resume.tokens if resume else 0) - self.recorded_tokens()
        if tokens or not self.runs:
            self.add_run(calls.Usage(0, tokens))

    def add_last_run(self, usage, last_tokens):
        """Record the run that completed the answer.

        Engines differ in whether the usage of a resumed run includes the
        tokens before it. Those are already billed, so a resumed run is
        billed for the tokens that it sent itself.

        :param int last_tokens: tokens of the chunk that carries the usage.
        """
        self.finished = True
        if self.runs:
            resume = self.resume_point()
            total = (resume.tokens if resume else 0) + last_tokens
            tokens = total - self.recorded_tokens()
            usage = calls.Usage(usage.prompt_tokens, tokens)
        self.add_run(usage)

    def recorded_tokens(self):
        """Return the sum of the answer tokens of the recorded runs."""
        return sum(run.usage.answer_tokens for run in self.runs)
