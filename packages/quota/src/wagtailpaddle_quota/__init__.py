"""Fleet-wide rates and bursts: shares and borrowing."""

from wagtailpaddle_quota.bucket import TokenBucket

__all__ = ["TokenBucket"]
