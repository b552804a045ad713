"""One forwarder without sockets: the real engine, decisions and journal between fakes that a test drives by hand.

Time is the caller's, calls and notices are ended by the caller, and the folder is real (`forwarder`). Whatever the
forwarder lets leave is checked at once against the rules, by what clients and the platform know (`oracle`).
"""
