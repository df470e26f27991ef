// Package version holds the version of the build, which acacialock and acacialockd print for --version.
package version

// Version is "dev" unless the linker sets it:
//
//	-ldflags "-X github.com/acacialock/acacialock/internal/version.Version=1.2.3"
var Version = "dev"
