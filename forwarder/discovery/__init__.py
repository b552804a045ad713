"""The watch of the endpoint list, and notices to the platform."""
