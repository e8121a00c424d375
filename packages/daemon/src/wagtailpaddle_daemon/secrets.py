"""Search for callers' keys in bytes that are to be sent to a backend server."""

import re
from base64 import b64encode
from collections.abc import Iterator
from itertools import islice
from urllib.parse import unquote_to_bytes

KEY_PREFIX = b"wp_"
KEY_PATTERN = re.compile(rb"wp_[A-Za-z0-9_-]{43}")
MAX_UNQUOTE_ROUNDS = 3
MAX_KEY_CANDIDATES = 64
"""Words in the format of a key that are looked up for one part of a request."""

MIN_SEARCHED_KEY_BYTES = 8
"""A shorter key cannot be told from ordinary text around it."""


def iter_decoded(data: bytes) -> Iterator[bytes]:
    """Yield ``data`` and what it is with percent-encoding taken off, repeatedly.

    >>> list(iter_decoded(b"a%2520b"))
    [b'a%2520b', b'a%20b', b'a b']
    """
    yield data
    for _ in range(MAX_UNQUOTE_ROUNDS):
        if b"%" not in data:
            return
        data = unquote_to_bytes(data)
        yield data


class KeyFilter:
    """Finds keys in the other parts of a request, plain or encoded.

    Searches for the key that came with the request and for its percent-encoded,
    base64 and hexadecimal forms. ``key`` is None if there is none to search for.

    >>> KeyFilter(b"a-secret").matches(b"a=a-sec%72et")
    True
    """

    __slots__ = ("_forms", "_lowercase_forms", "key")

    def __init__(self, key: bytes | None):
        self._forms: tuple[bytes, ...] = ()
        self._lowercase_forms: tuple[bytes, ...] = ()
        is_searched = key is not None and len(key) >= MIN_SEARCHED_KEY_BYTES
        self.key = key if is_searched else None
        if self.key is not None:
            self._forms = (self.key, *base64_cores(self.key))
            self._lowercase_forms = (self.key.hex().encode(),)

    def matches(self, data: bytes) -> bool:
        """Return whether ``data`` contains the key of the request."""
        if self.key is None:
            return False
        return any(self._contains_form(text) for text in iter_decoded(data))

    def find_candidates(self, data: bytes) -> frozenset[bytes]:
        """Return the words in ``data`` that may be keys.

        These are the key of the request and words in the format of issued keys. The
        format does not make a word a key: the configuration knows whether it is one.

        >>> KeyFilter(None).find_candidates(b"a=wp_short")
        frozenset()
        """
        found: set[bytes] = set()
        for text in iter_decoded(data):
            if self.key is not None and self._contains_form(text):
                found.add(self.key)
            if KEY_PREFIX in text:
                words = KEY_PATTERN.finditer(text)
                found.update(word[0] for word in islice(words, MAX_KEY_CANDIDATES))
        return frozenset(found)

    def remove_matches(self, data: bytes, separator: bytes) -> bytes:
        """Return ``data`` without the separated parts that contain a key.

        Returns empty bytes if a key spans a separator.
        """
        parts = data.split(separator)
        kept = separator.join(part for part in parts if not self.matches(part))
        return b"" if self.matches(kept) else kept

    def _contains_form(self, data: bytes) -> bool:
        for form in self._forms:
            if form in data:
                return True
        if len(data) < len(self._lowercase_forms[0]):
            return False
        lowercase = data.lower()
        return any(form in lowercase for form in self._lowercase_forms)


def base64_cores(key: bytes) -> tuple[bytes, ...]:
    """Return substrings that reveal ``key`` in base64 text.

    The base64 of any data that contains the key contains one of them. There are
    three alignments and two alphabets. The characters at both ends depend on
    the bytes next to the key and are left out.
    """
    cores = set()
    for n_before in range(3):
        encoded = b64encode(b"\0" * n_before + key).rstrip(b"=")
        begin = -(-8 * n_before // 6)
        end = 8 * (n_before + len(key)) // 6
        core = encoded[begin:end]
        cores.add(core)
        cores.add(core.translate(bytes.maketrans(b"+/", b"-_")))
    return tuple(sorted(core for core in cores if len(core) >= 8))
