"""Membership: which forwarders are present and which have failed, and gossip about endpoints.

Implements SWIM (Das, Gupta, Motivala, DSN 2002) with the additions of Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018).
The protocol modules are pure: they take datagrams and times, and return datagrams, changes and the time of the next
step.
"""
