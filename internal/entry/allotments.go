package entry

import (
	"time"

	"github.com/acacialock/acacialock/internal/servicelist"
)

// Allotments enforces the rates of tenants over all nodes. Implementations are safe for concurrent use and never block.
type Allotments interface {
	// Admit takes one request from the tenant's allotment. If the allotment is used up, it takes nothing and returns false
	// and the time after which it expects to admit a request.
	Admit(tenant *servicelist.Tenant) (retryAfter time.Duration, ok bool)
	// Return gives back a request that Admit took and that provably reached no target.
	Return(tenant *servicelist.Tenant)
}
