"""Keys of the objects stored in the agent's web application."""

from aiohttp import web

from lentilhaven.agent.agent import Agent

AGENT: web.AppKey[Agent] = web.AppKey("agent", Agent)
TOKEN: web.AppKey[str] = web.AppKey("token", str)
