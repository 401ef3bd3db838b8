"""Process that runs the entry, registry and control roles of a VM."""
