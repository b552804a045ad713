"""The configuration file, and the parts file that enables extensions."""
