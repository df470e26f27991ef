// Package version holds the version of the build.
package version

// Version is set by the linker: -ldflags "-X github.com/acacialock/acacialock/internal/version.Version=1.2.3".
var Version = "dev"
