"""Which variants of the registries a dispatcher uses."""

from dataclasses import dataclass

from wagtailpaddle_core import ZoneId

from wagtailpaddle_routing.budget import (
    MAX_TOKENS,
    RETRIES_PER_REQUEST,
    RETRIES_PER_S,
)

RESERVED = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Names of variants, and bounds.

    ``reserved`` is the part of the capacity that is kept for client accounts
    that use less than an equal part of it. Retries of a service on this VM
    stay under ``retries_per_request`` of its requests and this VM's part of
    ``retries_per_s`` and of ``max_retries`` at once. With ``charge_shed`` an
    attempt that a server turned away counts as a retry, too. An error of a server
    is set aside for another server's answer up to ``error_retries`` times.
    """

    zone: ZoneId = ZoneId("")
    picker: str = "balanced"
    chooser: str = "zone-aware"
    limiter: str = "aimd"
    service_limiter: str = "aimd"
    queue: str = "virtual-time"
    max_waiting: int = 1024
    reserved: float = RESERVED
    retries_per_request: float = RETRIES_PER_REQUEST
    retries_per_s: float = RETRIES_PER_S
    max_retries: float = MAX_TOKENS
    charge_shed: bool = False
    error_retries: int = 1
