"""A simulated platform around VMs that run as processes: endpoints, the cloud API and callers."""
