"""Following a fleet that its operators declare in a store of their own."""
