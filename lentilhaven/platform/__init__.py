"""
The users' platform: names, formats and calls.

Everything that is spelled as the platform spells it stands here and nowhere
else: headers, fields of records, paths of calls.  Each is decoded once into a
type of `lentilhaven.fleet` whose fields say what they hold.  Nothing here
decides anything: which call is made, when, and what follows from its answer is
up to the caller.
"""
