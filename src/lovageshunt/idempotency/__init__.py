"""At most one execution of a call that must never repeat."""
