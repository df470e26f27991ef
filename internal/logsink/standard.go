package logsink

import (
	"bytes"

	"k8s.io/klog/v2"
)

// maxLibraryLineBytes limits a line of a library. net/http logs up to 4 KiB of what a server sent without a request, which
// may be part of another caller's answer.
const maxLibraryLineBytes = 160

// LibraryWriter is an io.Writer for the standard logger, through which net/http reports protocol errors. It passes the
// lines to klog, so that they obey the rate limit of the sink and never block.
type LibraryWriter struct{}

// Write logs the start of one record.
func (LibraryWriter) Write(record []byte) (int, error) {
	text := bytes.TrimRight(record, "\n")
	klog.InfoS("library message", "text", string(text[:min(len(text), maxLibraryLineBytes)]))
	return len(record), nil
}
