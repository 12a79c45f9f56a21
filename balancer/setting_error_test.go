package balancer

import (
	"errors"
	"log/slog"
	"testing"
	"time"
)

// The error for an invalid setting names the setting and says what is wrong with it.
func TestSettingErrorNamesTheSetting(t *testing.T) {
	for _, c := range []struct {
		settings Settings
		want     SettingError
	}{
		{
			Settings{DrainGrace: -time.Second},
			SettingError{"DrainGrace", "is -1e+09, not a finite number of 0 or more"},
		},
		{
			Settings{Classes: []Class{{Name: "a"}, {Name: "a"}}},
			SettingError{`class "a"`, "is given twice"},
		},
		{
			Settings{Classes: []Class{{Name: "a", PriorityWeight: -1}}},
			SettingError{`class "a"`, "has a negative number"},
		},
	} {
		t.Run(c.want.Setting, func(t *testing.T) {
			b, err := New(c.settings)
			var got *SettingError
			if !errors.As(err, &got) || *got != c.want || b != nil {
				t.Errorf("got error %v, want %v", err, &c.want)
			}
		})
	}
}

func TestLogStringHasMessageAndAttrs(t *testing.T) {
	line := Log{"outlier ejected", []slog.Attr{slog.Int("server", 4), slog.String("reason", "reset")}}
	if got, want := line.String(), "outlier ejected server=4 reason=reset"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
