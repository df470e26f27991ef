package crowd

// loweredLimits are the settings of the node under test: a machine of which little is left for callers.
const loweredLimits = ""
