"""Settings of a dispatcher: variants from the registries, and bounds."""

from dataclasses import dataclass

from wagtailpaddle_core import ZoneId

from wagtailpaddle_routing.budget import (
    MAX_TOKENS,
    RETRIES_PER_REQUEST,
    RETRIES_PER_S,
)

RESERVED_FRACTION = 0.25

CROSSING_S = 0.002
"""Round trip between two zones of one site, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Names of registered variants, and bounds.

    ``reserved`` is the part of the capacity that is reserved for client accounts
    that use less than an equal share. The retries of a service on this VM are
    bounded by a retry budget: ``retries_per_request`` per request, plus this
    VM's part of ``retries_per_s``, with bursts up to its part of
    ``max_retries``. With ``charge_shed`` a retry after a shed answer is charged,
    too. An answer with a server error is retried up to ``error_retries`` times.

    The pickers "zone-first" and "zone-shares" keep requests in the VM's zone while it
    has room. ``crossing_s`` is the round trip between zones and ``crossing_byte_s``
    the price of a byte between zones as the latency that it is worth, in seconds; 0
    suits a deployment that pays for no bytes.
    """

    zone: ZoneId = ZoneId("")
    picker: str = "balanced"
    chooser: str = "zone-aware"
    limiter: str = "aimd"
    service_limiter: str = "aimd"
    queue: str = "virtual-time"
    max_waiting: int = 1024
    reserved: float = RESERVED_FRACTION
    retries_per_request: float = RETRIES_PER_REQUEST
    retries_per_s: float = RETRIES_PER_S
    max_retries: float = MAX_TOKENS
    charge_shed: bool = False
    error_retries: int = 1
    crossing_s: float = CROSSING_S
    crossing_byte_s: float = 0.0
