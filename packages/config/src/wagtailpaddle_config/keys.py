"""Issuing and hashing of the keys of client accounts."""

from dataclasses import dataclass
from hashlib import sha256
from secrets import token_urlsafe

from wagtailpaddle_core import KeyId

SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A new key. ``secret`` is shown once and never stored."""

    id: KeyId
    secret: str
    secret_hash: str


def hash_secret(secret: str) -> str:
    """Return the stored form of a secret.

    A plain SHA-256 is enough because secrets carry 256 random bits.
    """
    return sha256(secret.encode()).hexdigest()


def issue_key() -> IssuedKey:
    """Return a key with a new random secret."""
    secret = "wp_" + token_urlsafe(SECRET_BYTES)
    secret_hash = hash_secret(secret)
    return IssuedKey(KeyId("k" + secret_hash[:16]), secret, secret_hash)
