package operator

import (
	"fmt"
	"strings"
)

const (
	// diffContext is the number of unchanged lines shown around a change.
	diffContext = 3
	// maxDiffCells bounds the table of the comparison, 32 MB; larger changes are shown as one replacement.
	maxDiffCells = 4 << 20
)

// diffLine is one line of a comparison: ' ' in both texts, '-' only in the old one, '+' only in the new one.
type diffLine struct {
	mark byte
	text string
}

// Diff returns the lines that differ between two texts, in unified form without file names; "" for equal texts.
func Diff(before, after []byte) string {
	lines := compare(splitLines(before), splitLines(after))
	shown := make([]bool, len(lines))
	changed := false
	for i, line := range lines {
		if line.mark == ' ' {
			continue
		}
		changed = true
		for near := max(0, i-diffContext); near <= min(len(lines)-1, i+diffContext); near++ {
			shown[near] = true
		}
	}
	if !changed {
		return ""
	}
	return render(lines, shown)
}

// splitLines keeps line ends, so that a missing one at the end of a text counts as a difference.
func splitLines(text []byte) []string {
	return strings.SplitAfter(string(text), "\n")
}

// compare finds a longest common subsequence of the lines between the common start and the common end.
func compare(before, after []string) []diffLine {
	start := 0
	for start < len(before) && start < len(after) && before[start] == after[start] {
		start++
	}
	end := 0
	for end < len(before)-start && end < len(after)-start && before[len(before)-1-end] == after[len(after)-1-end] {
		end++
	}
	lines := marked(nil, ' ', before[:start])
	lines = compareMiddle(lines, before[start:len(before)-end], after[start:len(after)-end])
	return marked(lines, ' ', before[len(before)-end:])
}

func compareMiddle(lines []diffLine, before, after []string) []diffLine {
	if (len(before)+1)*(len(after)+1) > maxDiffCells {
		return marked(marked(lines, '-', before), '+', after)
	}
	common := commonLengths(before, after)
	i, j := 0, 0
	for i < len(before) && j < len(after) {
		switch {
		case before[i] == after[j]:
			lines = append(lines, diffLine{' ', before[i]})
			i++
			j++
		case common[i+1][j] >= common[i][j+1]:
			lines = append(lines, diffLine{'-', before[i]})
			i++
		default:
			lines = append(lines, diffLine{'+', after[j]})
			j++
		}
	}
	return marked(marked(lines, '-', before[i:]), '+', after[j:])
}

// commonLengths holds at [i][j] the length of the longest common subsequence of before[i:] and after[j:].
func commonLengths(before, after []string) [][]int {
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

func marked(lines []diffLine, mark byte, texts []string) []diffLine {
	for _, text := range texts {
		lines = append(lines, diffLine{mark, text})
	}
	return lines
}

// render writes the shown lines; a header with the line numbers of both texts precedes each group.
func render(lines []diffLine, shown []bool) string {
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
