"""Loans of budget units between routers: a router without units asks one that holds some."""
