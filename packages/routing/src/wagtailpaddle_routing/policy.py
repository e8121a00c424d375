"""Which variants of the registries a dispatcher uses."""

from dataclasses import dataclass

from wagtailpaddle_core import ZoneId

RESERVED = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Names of variants, and bounds.

    ``reserved`` is the part of the capacity that is kept for client accounts
    that use less than an equal part of it.
    """

    zone: ZoneId = ZoneId("")
    chooser: str = "zone-aware"
    limiter: str = "aimd"
    service_limiter: str = "aimd"
    queue: str = "virtual-time"
    max_waiting: int = 1024
    reserved: float = RESERVED
