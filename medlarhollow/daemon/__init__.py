"""The daemon."""
