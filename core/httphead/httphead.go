// Package httphead decides whether the head of a response follows the protocol (RFC 9112).
//
// net/http also reads heads that don't: statuses that can't be sent on, fields whose names hold a blank, which it then
// doesn't know as the length or the ID of the response, and chunks in HTTP/1.0, which it takes for the body. Whose response
// that is, and where it ends, is not certain, so nothing of it is used.
package httphead

import (
	"bytes"
	"fmt"
	"net/http"
)

// ProtocolError reports that the head of a response breaks the protocol.
type ProtocolError struct {
	// Reason says what is wrong.
	Reason string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "malformed response: " + e.Reason }

// Malformed returns a ProtocolError.
func Malformed(format string, args ...any) *ProtocolError {
	return &ProtocolError{Reason: fmt.Sprintf(format, args...)}
}

// maxQuoted bounds the part of a line in bytes that an error quotes.
const maxQuoted = 40

// quoted returns the beginning of a line for an error.
func quoted(line []byte) []byte { return line[:min(len(line), maxQuoted)] }

// Cut returns the head that a text begins with, without its empty line, and false if the text ends before that.
func Cut(text []byte) (head []byte, whole bool) {
	for at := 0; ; {
		length := bytes.IndexByte(text[at:], '\n')
		if length < 0 {
			return nil, false
		}
		if line := text[at : at+length]; at > 0 && (len(line) == 0 || string(line) == "\r") {
			return text[:at], true
		}
		at += length + 1
	}
}

// Check returns a ProtocolError if a head does not follow the protocol.
func Check(head []byte) error {
	status, fields, _ := bytes.Cut(head, []byte("\n"))
	if err := checkStatusLine(status); err != nil {
		return err
	}
	isOld := bytes.HasPrefix(status, []byte("HTTP/1.0"))
	for line := range bytes.Lines(fields) {
		if line[0] == ' ' || line[0] == '\t' {
			continue // belongs to the value of the line before; net/http reads it so
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		switch {
		case !found || !isToken(name):
			return Malformed("the line %q does not begin with the name of a field", quoted(line))
		case isOld && bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return Malformed("HTTP/1.0 has no transfer encodings")
		}
	}
	return nil
}

// checkStatusLine returns an error if a line is not the status line of a response that a request may get. Statuses from 600 on
// are invalid, and 101 answers a request to change the protocol, which is never made.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, _, _ := bytes.Cut(bytes.TrimRight(rest, "\r"), []byte(" "))
	switch {
	case string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0":
		return Malformed("the version is %q", quoted(version))
	case len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]):
		return Malformed("the status is %q", quoted(status))
	case string(status) == "101":
		return Malformed("status 101 without a request to change the protocol")
	}
	return nil
}

// Limits of the statuses of responses.
const (
	firstStatus = 100
	lastStatus  = 599
)

// CheckParsed returns a ProtocolError if a head that net/http has read does not follow the protocol. It sees less than
// Check: not what net/http has dropped.
func CheckParsed(status int, fields http.Header) error {
	if status < firstStatus || status > lastStatus || status == http.StatusSwitchingProtocols {
		return Malformed("the status is %d", status)
	}
	for name := range fields {
		if !isToken([]byte(name)) {
			return Malformed("%q is not the name of a field", quoted([]byte(name)))
		}
	}
	return nil
}

// isDigit reports whether a byte is a decimal digit.
func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken reports whether a text may be the name of a field.
func isToken(text []byte) bool {
	for _, c := range text {
		isLetter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !isLetter && !isDigit(c) && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(c)) {
			return false
		}
	}
	return len(text) > 0
}
