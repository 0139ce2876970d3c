"""The platform's protocol: clients, servers and their callbacks, discovery, and operators' commands."""
