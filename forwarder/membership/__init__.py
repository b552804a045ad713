"""Who is there, who has failed: membership after SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips,
Currey, DSN-W 2018). Pure: datagrams and times in, datagrams, news and the next time out.

`view` has what is known and which news goes before which; `protocol` probes, suspects, spreads and meets again; `codec`
has the datagrams, their tags and the bound on replay. Sockets: extension.py.
"""
