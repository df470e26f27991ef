package settings

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"

	"github.com/acacialock/acacialock/internal/cluster"
)

// NewMember returns the cluster member that these settings describe. Its ID is the node name, "@" and a new random
// incarnation of 8 hexadecimal digits.
func (s *Settings) NewMember() cluster.Member {
	var incarnation [4]byte
	_, _ = rand.Read(incarnation[:]) // crypto/rand.Read never fails
	return cluster.Member{
		ID:       s.Name + "@" + hex.EncodeToString(incarnation[:]),
		Service:  s.Service,
		Zone:     s.Zone,
		Region:   s.Region,
		PeerAddr: cmp.Or(s.PeerAdvertiseAddr, s.PeerAddr),
		LinkMbps: s.LinkMbps,
	}
}
