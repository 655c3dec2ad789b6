"""Stand-in of the service that rates answers."""

from celeryward.standins import base

DEFAULT_SCORE = 0.9


class RaterStandIn(base.StandIn):
    """Scores an answer by its model and the length of its prompt.

    :param dict scores: score by model name.
    :param dict long_scores: score by model name for long prompts; by default
        the same.
    :param int long_prompt_tokens: prompts with more tokens are long.
    """

    def __init__(
        self, scores, long_scores=None, long_prompt_tokens=50, port=0
    ):
        super().__init__(port)
        self.default_score = DEFAULT_SCORE
        self.scores = dict(scores)
        self.long_scores = dict(long_scores or scores)
        self.long_prompt_tokens = long_prompt_tokens
        self.rating_count = 0

    async def answer(self, connection, received):
        """Rate one answer."""
        self.rating_count += 1
        rating_request = received.json()
        is_long = rating_request['prompt_tokens'] > self.long_prompt_tokens
        scores = self.long_scores if is_long else self.scores
        score = scores.get(rating_request['model'], self.default_score)
        await base.send_json(connection, 200, {'score': score})
