"""Rules that operators accept, their versions and which of them are in force."""
