"""Synced files of a control replica."""
