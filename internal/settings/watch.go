package settings

import (
	"context"
	"os"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// watchInterval is the time between two looks at the settings file, which may change without a signal. Platforms give a
// change some seconds to take effect; a look costs one system call.
const watchInterval = 2 * time.Second

// Watch calls changed with the settings of the file after each signal and each change of the file, until ctx ends. A file
// that can't be used is logged and changes nothing.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, changed func(*Settings)) {
	looks := time.NewTicker(watchInterval)
	defer looks.Stop()
	seen := stampOf(path)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
			seen = stampOf(path)
		case <-looks.C:
			now := stampOf(path)
			if now == seen {
				continue
			}
			seen, reason = now, "file changed"
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

// stamp tells two states of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// stampOf returns the zero stamp for a file that is not there; it may be replaced at this moment.
func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		if !os.IsNotExist(err) {
			klog.InfoS("settings file can't be looked at", "file", path, "err", err.Error())
		}
		return stamp{}
	}
	return stamp{info.ModTime(), info.Size()}
}

// NeedStart names the keys that differ from old and take effect at the next start of the process only.
func (s *Settings) NeedStart(old *Settings) []string {
	var keys []string
	for _, one := range []struct {
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
		{"target_health_path", old.TargetHealthPath, s.TargetHealthPath},
		{"target_connect_timeout", old.TargetConnectTimeout.String(), s.TargetConnectTimeout.String()},
		{"target_health_interval", old.TargetHealthInterval.String(), s.TargetHealthInterval.String()},
		{"platform_addr", old.PlatformAddr, s.PlatformAddr},
		{"platform_try_timeout", old.PlatformTryTimeout.String(), s.PlatformTryTimeout.String()},
		{"platform_operation_timeout", old.PlatformOperationTimeout.String(), s.PlatformOperationTimeout.String()},
	} {
		if one.old != one.new {
			keys = append(keys, one.key)
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
