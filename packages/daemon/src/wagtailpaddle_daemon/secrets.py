"""Detection of callers' keys in bytes that are to be sent to a backend server."""

import re
from base64 import b64encode
from urllib.parse import unquote_to_bytes

KEY_PATTERN = re.compile(rb"wp_[A-Za-z0-9_-]{43}")
MAX_UNQUOTE_ROUNDS = 3


def contains_issued_key(data: bytes) -> bool:
    """Return whether ``data`` contains bytes in the format of an issued key."""
    return b"wp_" in data and KEY_PATTERN.search(data) is not None


class KeyFilter:
    """Finds the key of one request, plain or encoded.

    Searches for the key itself, its percent-encoded, base64 and hexadecimal
    forms, and anything that has the format of an issued key.

    >>> KeyFilter(b"secret").matches(b"a=sec%72et")
    True
    """

    __slots__ = ("_lowercase_forms", "_forms")

    def __init__(self, key: bytes | None):
        self._forms: tuple[bytes, ...] = ()
        self._lowercase_forms: tuple[bytes, ...] = ()
        if key is not None:
            self._forms = (key, *base64_cores(key))
            self._lowercase_forms = (key.hex().encode(),)

    def matches(self, data: bytes) -> bool:
        """Return whether ``data`` contains a key."""
        if self._contains_form(data):
            return True
        for _ in range(MAX_UNQUOTE_ROUNDS):
            if b"%" not in data:
                return False
            data = unquote_to_bytes(data)
            if self._contains_form(data):
                return True
        return False

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
        if contains_issued_key(data):
            return True
        if not self._lowercase_forms or len(data) < len(self._lowercase_forms[0]):
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
