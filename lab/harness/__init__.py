"""A forwarder without network connections: the real engine, decisions and journal, with fakes that a test controls.

The test sets the time and ends calls and notices; the state folder is real (`forwarder`). Everything that the forwarder
sends is checked at once against the rules, based on what clients, endpoints and the platform know (`oracle`).
"""
