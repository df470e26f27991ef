// Package depspin keeps the module requirements in go.mod until each library is imported elsewhere.
package depspin

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/rotisserie/eris"
	_ "github.com/twitchtv/twirp"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "k8s.io/klog/v2"
)
