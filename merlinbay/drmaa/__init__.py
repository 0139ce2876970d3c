"""DRMAA-style batch submission (DRMAA2, GFD.194) over a small JSON binding: docs/DRMAA.md describes it."""
