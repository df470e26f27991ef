// Package rpc is the inner protocol between nodes: twirp services and their protobuf messages. The generated code is
// committed, so the build needs no generator.
package rpc

//go:generate sh generate.sh
