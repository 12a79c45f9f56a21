package operator

// entry reads the values of one form, (key value …), in order. It reports only the first error.
type entry struct {
	section *section
	key     string
	form    expr
	values  []expr // the values that are not read yet
	failed  bool
}

// entries calls read for every form of a key, and reports values that read has left over.
func (s *section) entries(key string, read func(*entry)) {
	for _, form := range s.forms(key) {
		e := &entry{section: s, key: key, form: form, values: form.list[1:]}
		read(e)
		e.close()
	}
}

// close reports a value that was not read.
func (e *entry) close() {
	if e.hasMore() {
		e.fail(e.values[0].line, "%s is one value too many", e.values[0])
	}
}

// hasMore reports whether there are values left to read.
func (e *entry) hasMore() bool { return len(e.values) > 0 }

// fail adds an error about the entry, unless the entry has one already.
func (e *entry) fail(line int, format string, args ...any) {
	if !e.failed {
		e.section.fail(line, e.key, format, args...)
	}
	e.failed = true
}

// next returns the next value and true. If there is none, it adds an error and returns false. Here and in the methods
// below, the error text names the value by description.
func (e *entry) next(description string) (expr, bool) {
	if !e.hasMore() {
		e.fail(e.form.line, "%s is missing", description)
		return expr{}, false
	}
	x := e.values[0]
	e.values = e.values[1:]
	return x, true
}

// text returns the next value, which must be a string that is not empty.
func (e *entry) text(description string) string {
	x, ok := e.next(description)
	if !ok {
		return ""
	}
	text, ok := x.atom.(string)
	if !ok || text == "" {
		e.fail(x.line, "%s is not %s, a string", x, description)
	}
	return text
}

// texts returns all values that are left, which must be strings that are not empty.
func (e *entry) texts(description string) (list []string) {
	for e.hasMore() {
		list = append(list, e.text(description))
	}
	return list
}

// number returns the next value, which must be an integer from minValue to maxValue. After an error it returns minValue.
func (e *entry) number(description string, minValue, maxValue int64) int64 {
	x, ok := e.next(description)
	if !ok {
		return minValue
	}
	n, ok := x.atom.(int64)
	if !ok || n < minValue || n > maxValue {
		e.fail(x.line, "%s is not %s, a whole number within %d and %d", x, description, minValue, maxValue)
		return minValue
	}
	return n
}
