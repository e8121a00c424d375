"""Bounds Twisted's cache of header names.

The cache keeps 10,000 names of any length for the life of the process. Clients that
send long and ever new names would fill it with some 300 MB.
"""

from twisted.web import http_headers

MAX_CACHED_NAMES = 256


def bound_header_cache() -> None:
    """Limit the cache to ``MAX_CACHED_NAMES`` names."""
    http_headers._NameEncoder._MAX_CACHED_HEADERS = MAX_CACHED_NAMES
