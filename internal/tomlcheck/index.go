package tomlcheck

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// index records the line of each table and key of a text that was decoded. It also finds keys with capital letters,
// which the decoder takes for the same key in lower case.
func (d *Document) index(text []byte) {
	d.lines = map[string]int{}
	index := indexer{document: d, line: 1}
	index.parser.Reset(text)
	var table Key
	for index.parser.NextExpression() {
		node := index.parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = index.add(nil, node)
		case unstable.KeyValue:
			index.keyValue(table, node)
		}
	}
}

// maxKeyParts is the depth to which keys are indexed. No text that is checked has deeper ones, and indexing 9,000
// levels of inline tables took 1.4 s.
const maxKeyParts = 8

type indexer struct {
	parser   unstable.Parser
	document *Document
	// Line of the last offset looked up. The parser's own lookup starts at the first byte each time, which took 35 s
	// for 30,000 tables.
	offset, line int
}

// lineOf returns the line of an offset; offsets are looked up in ascending order.
func (x *indexer) lineOf(offset uint32) int {
	x.line += bytes.Count(x.parser.Data()[x.offset:offset], []byte("\n"))
	x.offset = int(offset)
	return x.line
}

// keyValue adds a key and the keys inside its value.
func (x *indexer) keyValue(table Key, node *unstable.Node) {
	key := x.add(table, node)
	if len(key) < maxKeyParts {
		x.value(key, node.Value())
	}
}

func (x *indexer) value(key Key, node *unstable.Node) {
	if node.Kind != unstable.InlineTable && node.Kind != unstable.Array {
		return
	}
	children := node.Children()
	for children.Next() {
		if child := children.Node(); child.Kind == unstable.KeyValue {
			x.keyValue(key, child)
		} else {
			x.value(key, child)
		}
	}
}

// add records the key of a node below a table and returns its path.
func (x *indexer) add(table Key, node *unstable.Node) Key {
	key := table[:len(table):len(table)]
	line := 0
	parts := node.Key()
	for parts.Next() {
		part := parts.Node()
		if line == 0 {
			line = x.lineOf(part.Raw.Offset)
		}
		key = append(key, string(part.Data))
	}
	if len(key) > maxKeyParts {
		return key
	}
	if _, ok := x.document.lines[key.index()]; !ok {
		x.document.lines[key.index()] = line
	}
	if last := key[len(key)-1]; last != strings.ToLower(last) {
		problem := Problem{Line: line, Key: key.String(), Kind: UnknownKey, Message: "keys are written in lower case"}
		x.document.problems = append(x.document.problems, problem)
	}
	return key
}
