"""A chain of calls whose last service is overloaded, in virtual time."""
