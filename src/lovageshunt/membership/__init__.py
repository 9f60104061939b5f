"""Who is here, who is leaving and who has gone silent."""
