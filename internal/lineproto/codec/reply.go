package codec

// ReplyKind is the command of a server's line.
type ReplyKind int

// The commands of a server's lines.
const (
	ReplyOther ReplyKind = iota // a line of the connection's own traffic
	ReplyUp
	ReplyBye
	ReplyMove
	ReplyErr
	ReplyBusy
	ReplyLoad
)

// Reply is a server's line.
type Reply struct {
	Kind   ReplyKind
	Load   float64 // of ReplyLoad
	Report []byte  // what follows BYE, ERR or BUSY, as sent; a part of the line
}

// ParseReply reads a server's line, with or without its end. A line that is none of the protocol's is ReplyOther.
func ParseReply(line []byte) Reply {
	command, rest := splitCommand(line)
	switch string(command) {
	case "UP":
		return Reply{Kind: ReplyUp}
	case "BYE":
		return Reply{Kind: ReplyBye, Report: rest}
	case "MOVE":
		return Reply{Kind: ReplyMove}
	case "ERR":
		return Reply{Kind: ReplyErr, Report: rest}
	case "BUSY":
		return Reply{Kind: ReplyBusy, Report: rest}
	case "LOAD":
		if load, ok := parseNumber(rest); ok {
			return Reply{Kind: ReplyLoad, Load: load}
		}
	}
	return Reply{}
}

// ParsePong reads the answer to a health check and returns its load report, which is empty in an answer to PING. It reports
// false for any other line.
func ParsePong(line []byte) (report []byte, ok bool) {
	command, rest := splitCommand(line)
	return rest, string(command) == "PONG"
}

// EachReportField calls visit for each field of a load report such as inflight=7,queue=2,util=0.61, in order. Malformed fields
// are skipped.
func EachReportField(report []byte, visit func(name string, value float64)) {
	for len(report) > 0 {
		_, name, value, rest, ok := cutField(report)
		report = rest
		if number, valid := parseNumber(value); ok && valid {
			visit(string(name), number)
		}
	}
}
