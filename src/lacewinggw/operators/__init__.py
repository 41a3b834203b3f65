"""The query and command language, plans and declarations."""
