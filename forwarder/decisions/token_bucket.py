"""Token buckets, kept as the one time by which all tokens taken so far are earned."""

from __future__ import annotations


def take_token(now_us: int, spent_until_us: int, interval_us: float, burst_us: float) -> int:
    """Takes a token from a bucket.

    Args:
        now_us: The present time.
        spent_until_us: The state of the bucket: when the tokens taken so far are earned.
        interval_us: How long it takes to earn one token.
        burst_us: The size of the bucket: unused time that counts as earned, in microseconds.

    Returns:
        The new state of the bucket: when the next token is there.
    """
    return int(max(spent_until_us, now_us - max(0.0, burst_us - interval_us)) + interval_us)
