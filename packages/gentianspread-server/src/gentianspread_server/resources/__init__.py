"""Memory, descriptors and time that peers which nobody controls can make a process spend."""
