"""The workers as the owner of their cell sees them."""
