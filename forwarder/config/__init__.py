"""The configuration file, and the file that turns extensions on."""
