"""The platform's protocol: clients, servers with their call-backs, discovery, operators' calls."""
