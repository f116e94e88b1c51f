"""Stand-ins of the platform, minions and clients, and a starter of the project's programs."""
