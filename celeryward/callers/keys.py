"""Authentication of customers by salted key hashes."""

import hashlib
import hmac
import secrets

import result

from celeryward import catalog
from celeryward import errors

SALT_BYTES = 16
KEY_BYTES = 32


def new_key():
    """Return a random key, safe to put in a header."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_key(key, salt=None):
    """Return the :class:`catalog.KeyHash` of a key.

    Keys are random and 32 bytes long, so one round of SHA-256 is enough;
    a slow password hash would cost more than the routing of a request.
    """
    salt = secrets.token_hex(SALT_BYTES) if salt is None else salt
    digest = hashlib.sha256((salt + key).encode('utf-8')).hexdigest()
    return catalog.KeyHash(salt, digest)


def authenticate(current, key, peer):
    """Return ``Ok(Customer)`` for a key, or ``Err(Unauthenticated)``.

    Compares with every hash, in constant time for each.
    """
    found = None
    for stored, customer in current.customers_by_digest:
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
