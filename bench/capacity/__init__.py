"""Measures slopes of cost and works out the cost at the size of 1.6."""
