package codec

import "bytes"

const (
	tokenWildcard = "*" // matches exactly one token
	fullWildcard  = ">" // matches one or more tokens at the end of a subject
)

var tokenSeparator = []byte{'.'}

// ValidSubject reports whether a subject has no empty token and only valid wildcards. Wildcards are valid if allowWildcards is
// set, and the full wildcard only as the last token. A wildcard is always a complete token; within a longer token its character
// has no special meaning.
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
		patternToken, patternRest, patternMore := bytes.Cut(pattern, tokenSeparator)
		if string(patternToken) == fullWildcard {
			return len(subject) > 0
		}
		subjectToken, subjectRest, subjectMore := bytes.Cut(subject, tokenSeparator)
		if string(patternToken) != tokenWildcard && !bytes.Equal(patternToken, subjectToken) {
			return false
		}
		if !patternMore || !subjectMore {
			return patternMore == subjectMore
		}
		pattern, subject = patternRest, subjectRest
	}
}

// Token returns token n of a subject, counted from 0, or nil if the subject has no such token.
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
