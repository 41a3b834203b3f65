"""Follow a fleet that its operators declare in their own store."""
