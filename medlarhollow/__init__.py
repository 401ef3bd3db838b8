"""Global traffic steering: entry VMs, shared state and its replicas."""
