package codec

import "bytes"

const (
	tokenWildcard = "*" // matches one token
	fullWildcard  = ">" // matches one or more tokens at the end
)

var tokenSeparator = []byte{'.'}

// ValidSubject reports whether a subject has no empty token and valid wildcards: none unless allowWildcards is set, and the
// full wildcard as the last token only. A wildcard is a token of its own; within a longer token it is an ordinary character.
func ValidSubject(subject []byte, allowWildcards bool) bool {
	for {
		token, rest, more := bytes.Cut(subject, tokenSeparator)
		switch string(token) {
		case "":
			return false
		case fullWildcard:
			if !allowWildcards || more {
				return false
			}
		case tokenWildcard:
			if !allowWildcards {
				return false
			}
		}
		if !more {
			return true
		}
		subject = rest
	}
}

// MatchesSubject reports whether a pattern, which may contain wildcards, matches a subject.
func MatchesSubject(pattern, subject []byte) bool {
	for {
		p, patternRest, patternMore := bytes.Cut(pattern, tokenSeparator)
		if string(p) == fullWildcard {
			return len(subject) > 0
		}
		s, subjectRest, subjectMore := bytes.Cut(subject, tokenSeparator)
		if string(p) != tokenWildcard && !bytes.Equal(p, s) {
			return false
		}
		if !patternMore || !subjectMore {
			return patternMore == subjectMore
		}
		pattern, subject = patternRest, subjectRest
	}
}

// Token returns the n-th token of a subject, counted from 0; nil if it has fewer.
func Token(subject []byte, n int) []byte {
	for ; ; n-- {
		token, rest, more := bytes.Cut(subject, tokenSeparator)
		if n == 0 {
			return token
		}
		if !more {
			return nil
		}
		subject = rest
	}
}
