"""Usage of requests, for the metrics and the daily report."""

import contextlib

from celeryward import errors
from celeryward.operators import windows


class UsageRecord:
    """Usage of one request, filled in while it runs.

    Attributes: ``first_token_seconds``, the time to the first token of a
    streamed answer, or None; ``cost`` in cost units; ``strong_cost``, the
    cost if the strongest tier had run alone; ``billed``, whether its bill is
    settled.
    """

    def __init__(self):
        self.first_token_seconds = None
        self.cost = 0.0
        self.strong_cost = 0.0
        self.billed = False


class UsageRecorder:
    """Adds each ended request to the metrics and the service windows.

    :param configuration: :class:`ConfigurationStore`.
    :param windows.Recorder recorder: writes the service windows of this
        daemon.
    :param clock: function that returns UTC seconds.
    """

    def __init__(self, configuration, recorder, metrics, clock):
        self.configuration = configuration
        self.recorder = recorder
        self.metrics = metrics
        self.clock = clock

    @contextlib.contextmanager
    def track(self, customer, target):
        """Yield a :class:`UsageRecord`; add it once the request ends.

        :param str target: name that the caller asked for.
        """
        usage = UsageRecord()
        code = 'ok'
        try:
            yield usage
        except errors.CelerywardError as error:
            code = error.code
            raise
        except Exception:
            code = 'internal'
            raise
        finally:
            self.record(customer.name, target, code, usage)

    def record(self, customer, target, code, usage=None):
        """Add one ended request.

        :param str customer: name of the customer.
        :param str code: ``ok`` or the code of the error.
        :param UsageRecord usage: None if the request was not admitted.
        """
        usage = usage or UsageRecord()
        self.metrics.requests.labels(customer, target, code).inc()
        level = self.configuration.catalog().service_level(customer)
        seconds = usage.first_token_seconds
        late = seconds is not None and seconds > level.first_token_seconds
        self.recorder.record(
            windows.FinishedRequest(
                self.clock(),
                customer,
                target,
                code,
                not late,
                seconds,
                usage.cost,
                usage.strong_cost,
                usage.billed,
            )
        )

    def record_bill(self, usage, bill):
        """Copy the costs of a request's bill to its usage."""
        usage.billed = True
        usage.cost = bill.cost
        usage.strong_cost = self.strong_cost(bill)

    def strong_cost(self, bill):
        """Return the cost if the strongest tier had run alone.

        Assumes that it generates as many tokens as the last run did. If the
        caller named a model and no cascade, this is the cost of the bill.
        """
        current = self.configuration.catalog()
        cascade = current.cascades.get(bill.target)
        if cascade is None or not bill.runs:
            return bill.cost
        strongest = current.versions_by_model.get(cascade.tiers[-1], ())
        if not strongest:
            return bill.cost
        usage = bill.runs[-1].usage
        return strongest[-1].cost(usage.prompt_tokens, usage.answer_tokens)
