"""The platform's protocol: its edge, its real servers with their call-backs, and its discovery."""
