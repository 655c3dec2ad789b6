"""Authentication of customers by salted hashes of their API keys."""

import hashlib
import hmac
import secrets

import result

from celeryward import catalog
from celeryward import errors

SALT_BYTES = 16
KEY_BYTES = 32


def new_key():
    """Return a random API key that is valid in a header."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_key(key, salt=None):
    """Return the :class:`catalog.KeyHash` of a key.

    Keys are 32 random bytes, so one round of SHA-256 is enough; a slow
    password hash would cost more than the routing of a request.

    :param str salt: hexadecimal; a new random one if it is None.
    """
    salt = secrets.token_hex(SALT_BYTES) if salt is None else salt
    digest = hashlib.sha256((salt + key).encode('utf-8')).hexdigest()
    return catalog.KeyHash(salt, digest)


def authenticate(current, key, peer):
    """Return ``Ok(Customer)`` for a key, or ``Err(Unauthenticated)``.

    Compares the key with every stored hash, each in constant time, so that
    the duration says nothing about the hashes.

    :param Catalog current: the catalog in force.
    :param str peer: address of the caller, for the error.
    """
    found = None
    for stored, customer in current.customers_by_key_hash:
        presented = hash_key(key, stored.salt)
        if hmac.compare_digest(presented.digest, stored.digest):
            found = customer
    if found is None or not key:
        return result.Err(
            errors.Unauthenticated(
                'no customer has this key', step='authenticate', peer=peer
            )
        )
    return result.Ok(found)
