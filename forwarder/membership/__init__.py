"""Membership: who is present and who has failed, and gossip on endpoints.

After SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018). All but `extension`,
`gossip` and `settings` is pure: datagrams and times in, datagrams, changes and the next time out.
"""
