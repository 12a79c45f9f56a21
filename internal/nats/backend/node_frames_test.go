package backend

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestHasAnyPrefixSortsErrorsOfNodes(t *testing.T) {
	type class struct{ NonFatal, Authorization, Rejection bool }
	for _, c := range []struct {
		text string
		want class
	}{
		{"permissions violation for publish to \"a\"", class{NonFatal: true}},
		{"invalid subject", class{NonFatal: true}},
		{"invalid publish subject", class{NonFatal: true}},
		{"authorization violation", class{Authorization: true}},
		{"authentication timeout", class{Authorization: true}},
		{"user authentication expired", class{Authorization: true}},
		{"account authentication expired", class{Authorization: true}},
		{"maximum connections exceeded", class{Rejection: true}},
		{"server shutdown", class{Rejection: true}},
		{"stale connection", class{}},
		{"maximum payload violation", class{}},
		{"", class{}},
	} {
		t.Run(c.text, func(t *testing.T) {
			got := class{
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
