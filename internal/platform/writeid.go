package platform

import (
	"crypto/rand"
	"fmt"
)

// NewWriteID returns a random UUID (version 4) in its canonical text form of 36 characters.
func NewWriteID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // crypto/rand.Read never fails
	id[6] = id[6]&0x0f | 0x40
	id[8] = id[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", id[0:4], id[4:6], id[6:8], id[8:10], id[10:16])
}
