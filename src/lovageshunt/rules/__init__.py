"""Rules that operators accept, their versions and the one in force."""
