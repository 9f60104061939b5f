"""The admin API for operators and peers, with its TLS and token checks."""
