package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrNotObject says that nested settings are valid JSON but not an object.
var ErrNotObject = errors.New("not an object")

// Flatten turns nested JSON settings into pairs. The names of nested members are joined by dots. A list gives its length under
// .count, its plain values as one value that is separated by commas, and its objects and lists under .0, .1 and so on. The
// error is that of the JSON decoder, or ErrNotObject.
func Flatten(nested []byte) (Pairs, error) {
	decoder := json.NewDecoder(bytes.NewReader(nested))
	decoder.UseNumber() // whole numbers of nanoseconds keep every digit
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	if _, ok := value.(map[string]any); !ok {
		return nil, ErrNotObject
	}
	p := Pairs{}
	p.flatten("", value)
	return p, nil
}

// flatten adds the pairs of a JSON value at a path.
func (p Pairs) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, member := range value {
			if path != "" {
				name = path + "." + name
			}
			p.flatten(name, member)
		}
	case []any:
		p.flattenList(path, value)
	default:
		p[path] = plainText(value)
	}
}

// flattenList adds the pairs of a list at a path.
func (p Pairs) flattenList(path string, list []any) {
	plain := make([]string, 0, len(list))
	for i, value := range list {
		switch value.(type) {
		case map[string]any, []any:
			p.flatten(path+"."+strconv.Itoa(i), value)
		default:
			plain = append(plain, plainText(value))
		}
	}
	p[path+".count"] = strconv.Itoa(len(list))
	p[path] = strings.Join(plain, ",")
}

// plainText returns the text of a JSON value that is neither an object nor a list.
func plainText(value any) string {
	if value == nil {
		return null
	}
	return fmt.Sprint(value)
}
