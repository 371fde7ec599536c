"""The router: accepts callers' requests and answers them within their prepaid budgets."""
