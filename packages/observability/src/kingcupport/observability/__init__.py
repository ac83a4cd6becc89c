"""Logs, metrics, health endpoints and the audit trail."""
