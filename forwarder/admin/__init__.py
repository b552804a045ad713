"""The admin interface for operators."""
