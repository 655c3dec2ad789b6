"""Claims of idempotency keys in the form that the platform stores."""

import dataclasses

from celeryward.objects import claims


class TestStoredForm:
    """Guards against responses that change in stored form."""

    def test_binary_body_is_unchanged(self):
        response = claims.Response(200, {'a': 'b'}, bytes(range(256)))
        claim = claims.Claim('n', 'a', 'd', 1.0).as_ran(response)
        assert claims.from_object(claim.to_object()) == claim

    def test_incomplete_response_is_not_replayed(self):
        response = claims.Response(200, {}, b'half', stored=False)
        claim = claims.Claim('n', 'a', 'd', 1.0).as_ran(response)
        own = dataclasses.replace(claim, attempt='b')
        decision = claims.decide(claim, own, 0.0)
        assert decision.unwrap_err().code == 'outcome_not_stored'
