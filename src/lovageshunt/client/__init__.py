"""The library that callers and targets embed."""
