package backend

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestErrorPrefixesClassifyNodeErrors(t *testing.T) {
	type errorClass struct{ NonFatal, Authorization, Rejection bool }
	for _, c := range []struct {
		text string
		want errorClass
	}{
		{"permissions violation for publish to \"a\"", errorClass{NonFatal: true}},
		{"invalid subject", errorClass{NonFatal: true}},
		{"invalid publish subject", errorClass{NonFatal: true}},
		{"authorization violation", errorClass{Authorization: true}},
		{"authentication timeout", errorClass{Authorization: true}},
		{"user authentication expired", errorClass{Authorization: true}},
		{"account authentication expired", errorClass{Authorization: true}},
		{"maximum connections exceeded", errorClass{Rejection: true}},
		{"server shutdown", errorClass{Rejection: true}},
		{"stale connection", errorClass{}},
		{"maximum payload violation", errorClass{}},
		{"", errorClass{}},
	} {
		t.Run(c.text, func(t *testing.T) {
			got := errorClass{
				NonFatal:      hasAnyPrefix(c.text, nonFatalErrors),
				Authorization: hasAnyPrefix(c.text, authorizationErrors),
				Rejection:     hasAnyPrefix(c.text, rejectionErrors),
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("class (-want +got):\n%s", diff)
			}
		})
	}
}
