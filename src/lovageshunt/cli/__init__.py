"""The commands of operators."""
