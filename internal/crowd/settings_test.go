package crowd

// loweredLimits are the settings of the node under test: a machine of which little is left for callers.
const loweredLimits = `caller_memory = 8388608
caller_connections = 200
`
