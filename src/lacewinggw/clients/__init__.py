"""Clients of the platform's services: table, objects, weights, membership."""
