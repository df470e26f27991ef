package inbound

import (
	"io"
	"log"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard) // net/http logs what a raw target sends without a request
	goleak.VerifyTestMain(m)
}
