"""Who may call the submission front: tokens, keys and TLS. docs/SECURITY.md."""
