package wire

import (
	"net/url"
	"strings"
)

// RequestPath returns the path of a request target, byte for byte and without the query. The target has origin form or
// absolute form, as in RFC 9112, section 3.2; in absolute form an empty path stands for "/". ok is false if the path can't be
// forwarded unchanged, as SetPath can't set it.
func RequestPath(target string) (path string, ok bool) {
	path, _, _ = strings.Cut(target, "?")
	if scheme := strings.IndexByte(path, ':'); scheme > 0 && !strings.Contains(path[:scheme], "/") {
		path = path[scheme+1:]
		if authority, found := strings.CutPrefix(path, "//"); found {
			if _, path, found = strings.Cut(authority, "/"); !found {
				return "/", true
			}
			path = "/" + path
		}
	}
	return path, SetPath(&url.URL{}, path)
}

// SetPath makes u.RequestURI return the path byte for byte, followed by the query. Path and RawPath alone don't suffice: some
// bytes, such as "|" and "^", would be escaped. It returns false if that is not possible: a path that does not begin with a
// slash, or that begins with two and has a byte that would be escaped.
func SetPath(u *url.URL, path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	u.Opaque, u.Path, u.RawPath = path, path, ""
	if !strings.HasPrefix(path, "//") {
		return true
	}
	// RequestURI would turn an Opaque that begins with two slashes into an absolute form.
	parsed, err := url.ParseRequestURI(path)
	if err != nil || parsed.EscapedPath() != path {
		return false
	}
	u.Opaque, u.Path, u.RawPath = "", parsed.Path, parsed.RawPath
	return true
}
