"""What a dispatch of a request is as work, to judge if it can be finished."""

from celeryward import calls
from celeryward import completion


def of_call(call, target):
    """Return the :class:`completion.Work` of a dispatch that would begin now.

    :param str target: name of the model or the service.
    """
    kind = (type(call.request), target)
    return completion.Work(kind, call.deadline, rule_of(call.request))


def rule_of(request):
    """Return the name of the rule for a request during a planned stop."""
    if isinstance(request, calls.ServiceRequest):
        return 'repeatable' if request.idempotent else 'once'
    # A caller can't ask for the rest of a stream that was cut off.
    return 'losable' if request.stream else 'repeatable'
