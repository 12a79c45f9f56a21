package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

// configFile is the JSON form of a configuration. Members that are absent are nil or empty.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"admin_addr"`
	Seed      string `json:"seed"` // hexadecimal digits
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *int     `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// parseFile decodes a configuration file. An empty text gives a file without any member.
func parseFile(text []byte) (*configFile, error) {
	f := &configFile{}
	if len(text) == 0 {
		return f, nil
	}
	err := json.Unmarshal(text, f)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return nil, keyError(typeErr.Field, "%s is not %s", typeErr.Value, typeErr.Type)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvFile, err)
	}
	return f, nil
}

// isGiven reports whether a member of the JSON is present and not null.
func isGiven(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// valueOr returns the value of a member, or defaultValue if the member is absent or null.
func valueOr[T any](member *T, defaultValue T) T {
	if member != nil {
		return *member
	}
	return defaultValue
}
