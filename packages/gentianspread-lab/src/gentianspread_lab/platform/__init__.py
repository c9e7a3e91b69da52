"""A simulated platform around the real programs: endpoints, the cloud API and callers."""
