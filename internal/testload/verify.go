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

// Runs counts the runs of each order in run logs, which hold one "order target" line for each run.
func Runs(logs ...string) (map[string]int, error) {
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

// Report sums a load up. Violations must be empty.
type Report struct {
	Orders, Answered, NotRun, Unknown int
	RanTwice                          int // orders with more than one run
	NotRunButRan                      int // told not-run, but run
	Violations                        []string
}

// String gives the counts in one line.
func (r Report) String() string {
	return fmt.Sprintf("orders %d: answered %d, not-run %d, unknown %d, run twice %d, told not-run but run %d",
		r.Orders, r.Answered, r.NotRun, r.Unknown, r.RanTwice, r.NotRunButRan)
}

// Verify checks every order against the runs: at most one run, none when the caller was told not-run, exactly one when
// it was answered, and the order's own answer.
func Verify(counts map[string]int, orders []*Order) Report {
	var report Report
	for _, one := range orders {
		report.add(one, counts[one.ID])
	}
	return report
}

func (r *Report) add(one *Order, ran int) {
	r.Orders++
	switch {
	case one.Answered:
		r.Answered++
	case one.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	if ran > 1 {
		r.RanTwice++
		r.violation("order %s ran %d times (%d tries, last: %s)", one.ID, ran, one.Tries, one.Last)
	}
	if one.NotRun && ran > 0 {
		r.NotRunButRan++
		r.violation("order %s was told not-run but ran (%d tries, last: %s)", one.ID, one.Tries, one.Last)
	}
	if one.Answered && ran == 0 {
		r.violation("order %s was answered but did not run", one.ID)
	}
	if one.Foreign {
		r.violation("order %s got the answer of another", one.ID)
	}
}

func (r *Report) violation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// Recovery is the time from the fault to the end of the last order that was not answered.
func Recovery(fault time.Time, orders []*Order) time.Duration {
	var last time.Duration
	for _, one := range orders {
		if !one.Answered && one.Ended.After(fault) {
			last = max(last, one.Ended.Sub(fault))
		}
	}
	return last
}
