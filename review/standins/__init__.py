"""Small stand-ins for the parties around one forwarder: platform and discovery, endpoints, clients, the process itself.

They use the standard library only, loopback addresses, free ports and temporary folders.
"""
