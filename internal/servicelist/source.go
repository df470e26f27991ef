package servicelist

import "github.com/acacialock/acacialock/internal/tomlcheck"

// Source finds entries in the text of a service list. The zero value finds none.
type Source struct {
	// Rules and Tenants are the names of the entries as written.
	Rules, Tenants []string
	document       *tomlcheck.Document
}

// NewSource returns the source of a text, which need not be a valid list.
func NewSource(text []byte) Source {
	if len(text) > MaxTextBytes {
		return Source{}
	}
	var decoded listText
	if !tomlcheck.Decode(text, &decoded).Decoded() {
		return Source{}
	}
	source := Source{document: tomlcheck.Index(text)}
	for _, rule := range decoded.Rules {
		source.Rules = append(source.Rules, rule.Name)
	}
	for _, tenant := range decoded.Tenants {
		source.Tenants = append(source.Tenants, tenant.Name)
	}
	return source
}

// LineOf returns the 1-based line of a key or else of its closest parent in the text, or 0.
func (s Source) LineOf(key tomlcheck.Key) int {
	if s.document == nil {
		return 0
	}
	return s.document.LineOf(key)
}
