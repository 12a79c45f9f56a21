package operator

// entry reads the values of one form, (key value …), in order. Only the first error of an entry is reported.
type entry struct {
	section *section
	key     string
	form    expr
	values  []expr // that are left to read
	failed  bool
}

// entries reads every form of a key, and reports values that nobody asked for.
func (s *section) entries(key string, read func(*entry)) {
	for _, form := range s.all(key) {
		e := &entry{section: s, key: key, form: form, values: form.list[1:]}
		read(e)
		e.close()
	}
}

func (e *entry) close() {
	if e.more() {
		e.fail(e.values[0].line, "%s is one value too many", e.values[0])
	}
}

func (e *entry) more() bool { return len(e.values) > 0 }

func (e *entry) fail(line int, format string, args ...any) {
	if !e.failed {
		e.section.fail(line, e.key, format, args...)
	}
	e.failed = true
}

// next is the next value; what it is stands in the error where there is none.
func (e *entry) next(what string) (expr, bool) {
	if !e.more() {
		e.fail(e.form.line, "%s is missing", what)
		return expr{}, false
	}
	x := e.values[0]
	e.values = e.values[1:]
	return x, true
}

// text is the next value, a string that is not empty.
func (e *entry) text(what string) string {
	x, ok := e.next(what)
	if !ok {
		return ""
	}
	text, ok := x.atom.(string)
	if !ok || text == "" {
		e.fail(x.line, "%s is not %s, a string", x, what)
	}
	return text
}

// texts are all values that are left.
func (e *entry) texts(what string) (list []string) {
	for e.more() {
		list = append(list, e.text(what))
	}
	return list
}

// number is the next value, a whole number within bounds.
func (e *entry) number(what string, minValue, maxValue int64) int64 {
	x, ok := e.next(what)
	if !ok {
		return minValue
	}
	n, ok := x.atom.(int64)
	if !ok || n < minValue || n > maxValue {
		e.fail(x.line, "%s is not %s, a whole number within %d and %d", x, what, minValue, maxValue)
		return minValue
	}
	return n
}
