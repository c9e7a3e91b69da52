"""A stand-in for the platform around the real programs: endpoints, the cloud API and callers."""
