"""Queues of requests that wait for a slot."""
