"""Token buckets, each represented by the time by which all tokens taken so far are earned."""

from __future__ import annotations


def take_token(now_us: int, spent_until_us: int, interval_us: float, burst_us: float) -> int:
    """Takes a token from a bucket.

    Args:
        now_us: The current time.
        spent_until_us: The state of the bucket: the time by which the tokens taken so far are earned.
        interval_us: Time to earn one token.
        burst_us: The size of the bucket: maximum unused time that counts as earned.

    Returns:
        The new state of the bucket: the time from which the next token is available.
    """
    return int(max(spent_until_us, now_us - max(0.0, burst_us - interval_us)) + interval_us)
