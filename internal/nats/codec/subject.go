package codec

import "bytes"

// ValidSubject reports whether a subject has no empty token and, unless wild, no wildcard token. Wildcards stand alone in
// their token, > in the last one only.
func ValidSubject(s []byte, wild bool) bool {
	if len(s) == 0 {
		return false
	}
	for {
		token, rest, more := bytes.Cut(s, []byte{'.'})
		switch {
		case len(token) == 0:
			return false
		case len(token) == 1 && token[0] == '>':
			if !wild || more {
				return false
			}
		case len(token) == 1 && token[0] == '*':
			if !wild {
				return false
			}
		}
		if !more {
			return true
		}
		s = rest
	}
}

// MatchesSubject reports whether a pattern, which may hold wildcards, takes in a subject.
func MatchesSubject(pattern, subject []byte) bool {
	for {
		p, pRest, pMore := bytes.Cut(pattern, []byte{'.'})
		if len(p) == 1 && p[0] == '>' {
			return len(subject) > 0
		}
		s, sRest, sMore := bytes.Cut(subject, []byte{'.'})
		if !(len(p) == 1 && p[0] == '*') && !bytes.Equal(p, s) {
			return false
		}
		if !pMore || !sMore {
			return pMore == sMore
		}
		pattern, subject = pRest, sRest
	}
}

// Token is the n-th token of a subject, from 0; empty where there is none.
func Token(subject []byte, n int) []byte {
	for ; ; n-- {
		token, rest, more := bytes.Cut(subject, []byte{'.'})
		if n == 0 {
			return token
		}
		if !more {
			return nil
		}
		subject = rest
	}
}
