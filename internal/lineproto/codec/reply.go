package codec

// ReplyKind is the command of a server's line.
type ReplyKind int

// The commands of a server's lines.
const (
	ReplyOther ReplyKind = iota // no command of the protocol: data for the client
	ReplyUp
	ReplyBye
	ReplyMove
	ReplyErr
	ReplyBusy
	ReplyLoad
)

// Reply is a parsed line of a server.
type Reply struct {
	Kind   ReplyKind
	Load   float64 // the load, for ReplyLoad only
	Report []byte  // the text after BYE, ERR or BUSY, as sent; refers to the line's bytes
}

// ParseReply parses a server's line, with or without its line end. A line that is no command of the protocol has the kind
// ReplyOther.
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

// ParsePong parses the answer to PING or STATS and returns its load report, which is empty in an answer to PING. ok is
// false for any other line.
func ParsePong(line []byte) (report []byte, ok bool) {
	command, rest := splitCommand(line)
	return rest, string(command) == "PONG"
}

// EachReportField calls visit for each field of a load report such as inflight=7,queue=2,util=0.61, in order. It skips
// malformed fields.
func EachReportField(report []byte, visit func(name string, value float64)) {
	for len(report) > 0 {
		_, name, value, rest, ok := cutField(report)
		report = rest
		if number, valid := parseNumber(value); ok && valid {
			visit(string(name), number)
		}
	}
}
