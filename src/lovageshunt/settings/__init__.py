"""Settings files in INI, checked with one error per fault."""
