"""An entry that speaks to its targets itself, with no agent beside them."""
