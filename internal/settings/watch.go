package settings

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// watchInterval is the interval at which the settings file is polled, as it may change without a signal. Platforms allow
// some seconds for a change to take effect, and polling costs one system call.
const watchInterval = 2 * time.Second

// Watch loads the settings file after each signal and each change of the file, and calls changed with the settings,
// until ctx ends. A file that can't be read or is invalid is logged and otherwise ignored.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, changed func(*Settings)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := statFile(path)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = statFile(path)
		case <-ticker.C:
			current := statFile(path)
			if current == last {
				continue
			}
			last, reason = current, "file changed"
		}
		loaded, err := Load(path)
		if err != nil {
			klog.InfoS("settings file can't be used", "file", path, "reason", reason, "err", err.Error())
			continue
		}
		klog.InfoS("settings file read", "file", path, "reason", reason)
		changed(loaded)
	}
}

// fileVersion identifies a version of a file, to detect changes.
type fileVersion struct {
	modified time.Time
	size     int64
}

// statFile returns the version of a file, or the zero value if the file does not exist, as can happen for a moment while
// it is being replaced. Any other error is logged and gives the zero value as well.
func statFile(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		if !os.IsNotExist(err) {
			klog.InfoS("settings file can't be looked at", "file", path, "err", err.Error())
		}
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// ChangedRestartKeys returns the keys whose values differ from old and take effect only after a restart of the process.
func (s *Settings) ChangedRestartKeys(old *Settings) []string {
	var keys []string
	for _, setting := range []struct {
		key      string
		old, new string
	}{
		{"platform", old.Platform, s.Platform},
		{"name", old.Name, s.Name},
		{"service", old.Service, s.Service},
		{"zone", old.Zone, s.Zone},
		{"region", old.Region, s.Region},
		{"entry_addr", old.EntryAddr, s.EntryAddr},
		{"peer_addr", old.PeerAddr, s.PeerAddr},
		{"peer_advertise_addr", old.PeerAdvertiseAddr, s.PeerAdvertiseAddr},
		{"admin_addr", old.AdminAddr, s.AdminAddr},
		{"check_in_addr", old.CheckInAddr, s.CheckInAddr},
		{"target_addr", old.TargetAddr, s.TargetAddr},
		{"caller_memory", fmt.Sprint(old.CallerMemory), fmt.Sprint(s.CallerMemory)},
		{"caller_connections", fmt.Sprint(old.CallerConnections), fmt.Sprint(s.CallerConnections)},
		{"caller_header_lines", fmt.Sprint(old.CallerHeaderLines), fmt.Sprint(s.CallerHeaderLines)},
		{"descriptors", fmt.Sprint(old.Descriptors), fmt.Sprint(s.Descriptors)},
		{"target_health_path", old.TargetHealthPath, s.TargetHealthPath},
		{"target_connect_timeout", old.TargetConnectTimeout.String(), s.TargetConnectTimeout.String()},
		{"target_health_interval", old.TargetHealthInterval.String(), s.TargetHealthInterval.String()},
		{"platform_addr", old.PlatformAddr, s.PlatformAddr},
		{"key_withdrawal_bound", old.KeyWithdrawalBound.String(), s.KeyWithdrawalBound.String()},
		{"platform_try_timeout", old.PlatformTryTimeout.String(), s.PlatformTryTimeout.String()},
		{"platform_operation_timeout", old.PlatformOperationTimeout.String(), s.PlatformOperationTimeout.String()},
	} {
		if setting.old != setting.new {
			keys = append(keys, setting.key)
		}
	}
	if !slices.Equal(old.Seeds, s.Seeds) {
		keys = append(keys, "seeds")
	}
	if !slices.Equal(old.EntryServices, s.EntryServices) {
		keys = append(keys, "entry_services")
	}
	return keys
}
