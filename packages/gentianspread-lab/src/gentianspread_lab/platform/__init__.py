"""A stand-in for the users' platform: endpoints, calls and settings for the real programs."""
