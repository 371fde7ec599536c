"""Deployments of many real processes: routers of any build, engines, callers and a store."""
