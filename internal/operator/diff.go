package operator

import (
	"fmt"
	"strings"
)

const (
	// diffContext is the number of unchanged lines shown before and after a change.
	diffContext = 3
	// maxDiffCells limits the table of subsequence lengths to 32 MB. Beyond that, all lines between the common start
	// and the common end are shown as replaced.
	maxDiffCells = 4 << 20
)

// diffLine is one line of a diff. mark is ' ' for a line in both texts, '-' for one only in the old text, '+' for one
// only in the new text.
type diffLine struct {
	mark byte
	text string
}

// Diff returns the difference between two texts as unified diff hunks without file names, or "" if the texts are equal.
func Diff(before, after []byte) string {
	lines := diffLines(splitLines(before), splitLines(after))
	shown := make([]bool, len(lines))
	changed := false
	for i, line := range lines {
		if line.mark == ' ' {
			continue
		}
		changed = true
		for n := max(0, i-diffContext); n <= min(len(lines)-1, i+diffContext); n++ {
			shown[n] = true
		}
	}
	if !changed {
		return ""
	}
	return formatHunks(lines, shown)
}

// splitLines splits text into lines with their line ends, so that a missing newline at the end counts as a difference.
func splitLines(text []byte) []string {
	return strings.SplitAfter(string(text), "\n")
}

// diffLines compares two texts line by line. After removing the common start and the common end it uses a longest
// common subsequence of the remaining lines.
func diffLines(before, after []string) []diffLine {
	start := 0
	for start < len(before) && start < len(after) && before[start] == after[start] {
		start++
	}
	end := 0
	for end < len(before)-start && end < len(after)-start && before[len(before)-1-end] == after[len(after)-1-end] {
		end++
	}
	lines := appendLines(nil, ' ', before[:start])
	lines = diffMiddle(lines, before[start:len(before)-end], after[start:len(after)-end])
	return appendLines(lines, ' ', before[len(before)-end:])
}

// diffMiddle appends the diff of two texts without a common start and end to lines.
func diffMiddle(lines []diffLine, before, after []string) []diffLine {
	if (len(before)+1)*(len(after)+1) > maxDiffCells {
		return appendLines(appendLines(lines, '-', before), '+', after)
	}
	lengths := lcsLengths(before, after)
	i, j := 0, 0
	for i < len(before) && j < len(after) {
		switch {
		case before[i] == after[j]:
			lines = append(lines, diffLine{' ', before[i]})
			i++
			j++
		case lengths[i+1][j] >= lengths[i][j+1]:
			lines = append(lines, diffLine{'-', before[i]})
			i++
		default:
			lines = append(lines, diffLine{'+', after[j]})
			j++
		}
	}
	return appendLines(appendLines(lines, '-', before[i:]), '+', after[j:])
}

// lcsLengths returns a table whose entry [i][j] is the length of the longest common subsequence of before[i:] and
// after[j:].
func lcsLengths(before, after []string) [][]int {
	lengths := make([][]int, len(before)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}

// appendLines appends texts to lines, each with the given mark.
func appendLines(lines []diffLine, mark byte, texts []string) []diffLine {
	for _, text := range texts {
		lines = append(lines, diffLine{mark, text})
	}
	return lines
}

// formatHunks returns the shown lines, with a header that holds the line numbers in both texts before each hunk.
func formatHunks(lines []diffLine, shown []bool) string {
	var out strings.Builder
	before, after := 1, 1
	for i, line := range lines {
		if shown[i] && (i == 0 || !shown[i-1]) {
			fmt.Fprintf(&out, "@@ -%d +%d @@\n", before, after)
		}
		if shown[i] && line.text != "" {
			out.WriteString(string(line.mark) + strings.TrimSuffix(line.text, "\n") + "\n")
			if !strings.HasSuffix(line.text, "\n") {
				out.WriteString("\\ no newline at the end\n")
			}
		}
		if line.mark != '+' {
			before++
		}
		if line.mark != '-' {
			after++
		}
	}
	return out.String()
}
