package tomlcheck

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexKeys records the line of each table and key of a text that could be decoded. It also adds a problem for each key
// with upper-case letters, because the decoder matches it with the key in lower case.
func (d *Document) indexKeys(text []byte) {
	d.lines = map[string]int{}
	index := indexer{document: d, line: 1, elements: map[string]int{}}
	index.parser.Reset(text)
	var table Key
	for index.parser.NextExpression() {
		node := index.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = index.addKey(nil, node)
		case unstable.ArrayTable:
			table = index.addElement(index.addKey(nil, node))
		case unstable.KeyValue:
			index.addKeyValue(table, node)
		}
	}
}

// maxKeyParts is the depth to which keys are indexed. Valid texts have no deeper keys, and without the limit it took 1.4 s
// to index 9,000 levels of inline tables.
const maxKeyParts = 8

// indexer parses a text and adds the lines of its keys to a Document.
type indexer struct {
	parser   unstable.Parser
	document *Document
	// offset is the last offset that was looked up and line is its line. The parser's own lookup scans from the first byte
	// each time, which took 35 s for 30,000 tables.
	offset, line int
	// elements counts the elements of each array of tables, by Key.lineKey.
	elements map[string]int
}

// addElement records the line of the next element of an array of tables, which is the line last looked up, and returns the
// element's key.
func (x *indexer) addElement(array Key) Key {
	position := x.elements[array.lineKey()]
	x.elements[array.lineKey()]++
	element := append(array[:len(array):len(array)], Element(position))
	if len(element) <= maxKeyParts {
		x.document.lines[element.lineKey()] = x.line
	}
	return element
}

// lineOf returns the 1-based line of an offset. Offsets must be looked up in ascending order.
func (x *indexer) lineOf(offset uint32) int {
	x.line += bytes.Count(x.parser.Data()[x.offset:offset], []byte("\n"))
	x.offset = int(offset)
	return x.line
}

// addKeyValue adds the key of a key-value pair in a table and the keys inside its value.
func (x *indexer) addKeyValue(table Key, node *unstable.Node) {
	key := x.addKey(table, node)
	if len(key) < maxKeyParts {
		x.addValue(key, node.Value())
	}
}

// addValue adds the keys inside a value that is an inline table or an array.
func (x *indexer) addValue(key Key, node *unstable.Node) {
	if node.Kind != unstable.InlineTable && node.Kind != unstable.Array {
		return
	}
	children := node.Children()
	for position := 0; children.Next(); position++ {
		if child := children.Node(); child.Kind == unstable.KeyValue {
			x.addKeyValue(key, child)
		} else if len(key) < maxKeyParts {
			x.addValue(append(key[:len(key):len(key)], Element(position)), child)
		}
	}
}

// addKey records the line of a node's key in a table and returns the complete key. The first line recorded for a key is
// kept.
func (x *indexer) addKey(table Key, node *unstable.Node) Key {
	key := table[:len(table):len(table)]
	line := 0
	parts := node.Key()
	for parts.Next() {
		part := parts.Node()
		if count := x.elements[key.lineKey()]; count > 0 && len(key) > 0 && len(key) <= maxKeyParts {
			key = append(key, Element(count-1)) // a table below the last element of an array of tables
		}
		if line == 0 {
			line = x.lineOf(part.Raw.Offset)
		}
		key = append(key, string(part.Data))
	}
	if len(key) > maxKeyParts {
		return key
	}
	for _, recorded := range []Key{table, key} { // an inline table has the line of its first key
		if _, ok := x.document.lines[recorded.lineKey()]; !ok && len(recorded) > 0 {
			x.document.lines[recorded.lineKey()] = line
		}
	}
	if last := key[len(key)-1]; last != strings.ToLower(last) {
		problem := Problem{Line: line, Key: key.String(), Kind: UnknownKey, Message: "keys must be in lower case"}
		x.document.problems = append(x.document.problems, problem)
	}
	return key
}
