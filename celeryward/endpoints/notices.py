"""Evaluates what the answers of endpoints state about the endpoints.

Only an answer that is certainly to the request that was sent counts, so that
a late or copied head of another answer has no effect on any endpoint.
"""


class NoticeReader:
    """Records the notices in the heads of answers.

    :param table: :class:`runners.RunnerTable`.
    """

    def __init__(self, table):
        self.table = table

    def record(self, forwarded, runner, metadata, is_first):
        """Record the notices in the head of an answer.

        :param forwarding.ForwardedRequest forwarded: the request.
        :param runners.Runner runner: the endpoint that it was sent to.
        :param ingress.ResponseMetadata metadata: what the head says.
        :param bool is_first: whether the request was the first one on its
            connection.
        """
        if not answers_request(forwarded, metadata, is_first):
            return
        if metadata.leaving and is_own_answer(metadata):
            self.table.announce_departure(runner, forwarded.request_id)


def answers_request(forwarded, metadata, is_first):
    """Return whether an answer is certainly to this request.

    Without an id it is only if nothing else was sent on the connection. A
    misdirected request was answered by another endpoint.
    """
    if metadata.misdirected:
        return False
    if metadata.request_id:
        return metadata.request_id == forwarded.request_id
    return is_first


def is_own_answer(metadata):
    """Return whether the endpoint itself has made an answer."""
    return bool(metadata.request_id or metadata.sealed or metadata.not_run)
