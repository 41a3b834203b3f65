"""A model of a declared fleet on virtual time: real decisions, modelled engines and callers."""
