package rpc

// MaxRequestBytes limits the body of a request of another node. The largest requests carry crash suspects and the members
// of a zone, about 100 KB at 1,200 members.
const MaxRequestBytes = 8 << 20
