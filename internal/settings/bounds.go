package settings

import (
	"cmp"
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/acacialock/acacialock/internal/callerhttp"
	"github.com/acacialock/acacialock/internal/tomlcheck"
)

const (
	// callerMemoryShare is the part of the machine's memory that callers may make the process hold by default, as a divisor.
	callerMemoryShare = 8
	minCallerMemory   = 8 << 20   // bytes
	maxCallerMemory   = 128 << 20 // bytes, of the default
	// callerDescriptorShare is the part of the process's descriptors that the connections of callers may use by default, as a
	// divisor. The others remain for targets, other nodes and the store.
	callerDescriptorShare = 2
	maxCallerConnections  = 2048 // of the default, which leaves enough on machines with 4,100 descriptors
	// peerDescriptorEighths is the part of the process's descriptors, in eighths, that connections from other nodes may use.
	peerDescriptorEighths = 3
	maxPeerConnections    = 1536
	// memoryLimitQuarters is the part of the machine's memory, in quarters, from which on the runtime frees memory more often.
	memoryLimitQuarters = 3
	// Bounds of the settings.
	maxBoundBytes      = 1 << 40
	maxDescriptors     = 1 << 24
	maxHeaderLineLimit = 1 << 20
)

// CallerBounds returns the bounds on what callers may make the process hold. Those that the settings do not set are derived
// from the memory and the descriptors of the machine; if these are unknown, the defaults of callerhttp apply.
func (s *Settings) CallerBounds() callerhttp.Bounds {
	memory := s.CallerMemory
	if total := machineMemory(); memory == 0 && total > 0 {
		memory = min(max(total/callerMemoryShare, minCallerMemory), maxCallerMemory)
	}
	connections := s.CallerConnections
	if limit := cmp.Or(s.Descriptors, descriptorLimit()); connections == 0 && limit > 0 {
		connections = min(max(limit/callerDescriptorShare, 1), maxCallerConnections)
	}
	return callerhttp.Bounds{Memory: memory, Connections: connections, HeaderLines: s.CallerHeaderLines}
}

// MaxPeerConnections returns the bound on open connections from other nodes, 0 if the limit of the process is unknown.
func (s *Settings) MaxPeerConnections() int {
	return min(cmp.Or(s.Descriptors, descriptorLimit())*peerDescriptorEighths/8, maxPeerConnections)
}

// MemoryLimit returns the bytes from which on the runtime should free memory more often, 0 if the machine's memory is unknown.
func MemoryLimit() int64 { return machineMemory() / 4 * memoryLimitQuarters }

// machineMemory returns the memory of the machine in bytes, 0 if it is unknown.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0 // not a Linux system
	}
	_, rest, _ := strings.Cut(string(text), "MemTotal:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0
	}
	return kib << 10
}

// descriptorLimit returns the number of descriptors that the process may open, 0 if it is unknown.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

func checkCallerBounds(document *tomlcheck.Document, loaded *Settings) {
	if loaded.CallerMemory < 0 || loaded.CallerMemory > maxBoundBytes {
		document.Add(tomlcheck.OutOfRange, tomlcheck.Key{"caller_memory"}, "%d is out of range: must be 0 to %d", loaded.CallerMemory, int64(maxBoundBytes))
	}
	document.CheckRange(tomlcheck.Key{"caller_connections"}, loaded.CallerConnections, 0, maxDescriptors)
	document.CheckRange(tomlcheck.Key{"caller_header_lines"}, loaded.CallerHeaderLines, 0, maxHeaderLineLimit)
	document.CheckRange(tomlcheck.Key{"descriptors"}, loaded.Descriptors, 0, maxDescriptors)
}
