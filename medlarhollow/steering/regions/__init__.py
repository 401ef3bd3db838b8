"""Regions of callers, and the traffic between regions and data centres."""
