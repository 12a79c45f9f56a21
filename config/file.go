package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

// file is the form of the JSON. What is not given is nil or empty.
type file struct {
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

// parseFile reads JSON; an empty text gives no value.
func parseFile(text []byte) (*file, error) {
	f := &file{}
	if len(text) == 0 {
		return f, nil
	}
	err := json.Unmarshal(text, f)
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return nil, keyError(wrong.Field, "%s is not %s", wrong.Value, wrong.Type)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvFile, err)
	}
	return f, nil
}

// isGiven reports whether a member of the JSON is there and not null.
func isGiven(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// valueOr is the value of a member, or its default where it is not given.
func valueOr[T any](member *T, defaultValue T) T {
	if member != nil {
		return *member
	}
	return defaultValue
}
