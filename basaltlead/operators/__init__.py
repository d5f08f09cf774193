"""The operators' commands and the client behind them."""
