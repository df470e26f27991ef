package wire

import (
	"fmt"
	"net/http"
	"strings"
)

// StatusLineError reports a response whose status line is none of HTTP/1.
type StatusLineError struct{ Proto, Status string }

// Error implements error.
func (e *StatusLineError) Error() string {
	return fmt.Sprintf("%.16q %.64q is no status line of an answer", e.Proto, e.Status)
}

// CheckStatusLine checks the status line of a final response as it was received. net/http also accepts other versions, signs,
// three-digit numbers that are no status, switches of the protocol that were not asked for, and control bytes. The error is a
// *StatusLineError.
func CheckStatusLine(response *http.Response) error {
	code, reason, _ := strings.Cut(response.Status, " ")
	valid := (response.Proto == "HTTP/1.1" || response.Proto == "HTTP/1.0") &&
		len(code) == 3 && code[0] >= '2' && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2]) &&
		!strings.ContainsFunc(reason, isControl)
	if !valid {
		return &StatusLineError{Proto: response.Proto, Status: response.Status}
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isControl reports whether a reason phrase must not contain r: a control character except the tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
