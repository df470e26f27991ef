package testload

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"
)

// CountRuns returns the number of runs of each order ID in run logs, which contain one line "order target" per run. A log
// that does not exist counts as empty.
func CountRuns(logs ...string) (map[string]int, error) {
	counts := map[string]int{}
	for _, name := range logs {
		if err := countRuns(name, counts); err != nil {
			return nil, err
		}
	}
	return counts, nil
}

func countRuns(name string, counts map[string]int) error {
	file, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		id, _, _ := strings.Cut(lines.Text(), " ")
		counts[id]++
	}
	return lines.Err()
}

// Report summarizes the results of a load. Verification passes if Violations is empty.
type Report struct {
	Orders, Answered, NotRun, Unknown int
	RanTwice                          int // orders with more than one run
	NotRunButRan                      int // orders reported as not-run that did run
	Violations                        []string
}

// String returns the counts in one line.
func (r Report) String() string {
	return fmt.Sprintf("orders %d: answered %d, not-run %d, unknown %d, run twice %d, reported not-run but ran %d",
		r.Orders, r.Answered, r.NotRun, r.Unknown, r.RanTwice, r.NotRunButRan)
}

// Verify checks every order against its runs: at most one run, none if it was reported as not-run, at least one if it was
// answered, and no response that belongs to another order.
func Verify(counts map[string]int, orders []*Order) Report {
	var report Report
	for _, order := range orders {
		report.add(order, counts[order.ID])
	}
	return report
}

func (r *Report) add(order *Order, runs int) {
	r.Orders++
	switch {
	case order.Answered:
		r.Answered++
	case order.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	if runs > 1 {
		r.RanTwice++
		r.addViolation("order %s ran %d times (%d attempts, last: %s)", order.ID, runs, order.Attempts, order.LastResult)
	}
	if order.NotRun && runs > 0 {
		r.NotRunButRan++
		r.addViolation("order %s was reported as not-run but ran (%d attempts, last: %s)", order.ID, order.Attempts, order.LastResult)
	}
	if order.Answered && runs == 0 {
		r.addViolation("order %s was answered but did not run", order.ID)
	}
	if order.Mismatch {
		r.addViolation("order %s received the response of another order", order.ID)
	}
}

func (r *Report) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// RecoveryTime returns the time from the fault to the end of the last unanswered order that ended after it, or 0 if there
// is none.
func RecoveryTime(fault time.Time, orders []*Order) time.Duration {
	var last time.Duration
	for _, order := range orders {
		if !order.Answered && order.Ended.After(fault) {
			last = max(last, order.Ended.Sub(fault))
		}
	}
	return last
}
