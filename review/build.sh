#!/bin/sh
# The stand-ins of the review are Python and need no build of their own.
exit 0
