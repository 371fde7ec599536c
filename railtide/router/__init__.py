"""The router: takes callers' requests and answers them within their budgets."""
