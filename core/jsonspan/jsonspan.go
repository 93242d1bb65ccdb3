// Package jsonspan splits a JSON text into the texts of its members or elements, whatever these hold and however deeply they
// are nested. encoding/json decodes a text as a whole: one element that is nested too deeply, or has a number where a
// text is expected, hides all others. Elements that were split off are decoded one by one, and fail one by one.
//
// The structure of the split text itself is checked: one that was cut is an error. What a member or an element holds is
// not checked beyond its brackets and quotes.
package jsonspan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// errEnd reports that a text ends early.
var errEnd = errors.New("unexpected end of JSON text")

// Members returns the texts of the members of an object that have the given names, in the order of the names; nil for a
// member that is missing. Of members of the same name the last counts, as for encoding/json. If the text is cut or broken, it
// also returns the members before that, the last one perhaps in part, with an error.
func Members(text []byte, names ...string) ([]json.RawMessage, error) {
	values := make([]json.RawMessage, len(names))
	s := scanner{text: text}
	err := s.list('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		for i, wanted := range names {
			if name == wanted {
				values[i] = value
			}
		}
		return err
	})
	if err == nil {
		err = s.end()
	}
	return values, err
}

// Elements returns the texts of the elements of an array; none for null. If the text is cut or broken, it also returns the
// elements before that, with an error.
func Elements(text []byte) ([]json.RawMessage, error) {
	if string(bytes.TrimSpace(text)) == "null" {
		return nil, nil
	}
	var elements []json.RawMessage
	s := scanner{text: text}
	err := s.list('[', ']', func() error {
		element, err := s.value()
		if err == nil {
			elements = append(elements, element)
		}
		return err
	})
	if err == nil {
		err = s.end()
	}
	return elements, err
}

// scanner reads a text from a position on.
type scanner struct {
	text []byte
	at   int
}

// next skips white space and returns the next byte without reading it, or 0 at the end of the text.
func (s *scanner) next() byte {
	for s.at < len(s.text) {
		switch c := s.text[s.at]; c {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return c
		}
	}
	return 0
}

// expect reads a byte and returns an error if it is another one than wanted.
func (s *scanner) expect(wanted byte) error {
	switch c := s.next(); {
	case s.at == len(s.text):
		return errEnd
	case c != wanted:
		return fmt.Errorf("%q in place of %q at byte %d", c, wanted, s.at)
	}
	s.at++
	return nil
}

// end returns an error unless only white space follows.
func (s *scanner) end() error {
	if c := s.next(); s.at < len(s.text) {
		return fmt.Errorf("%q behind the end at byte %d", c, s.at)
	}
	return nil
}

// list reads a list between two brackets whose parts, between commas, are read by part.
func (s *scanner) list(open, closing byte, part func() error) error {
	if err := s.expect(open); err != nil {
		return err
	}
	if s.next() == closing {
		s.at++
		return nil
	}
	for {
		if err := part(); err != nil {
			return err
		}
		if s.next() == closing {
			s.at++
			return nil
		}
		if err := s.expect(','); err != nil {
			return err
		}
	}
}

// name reads the name of a member and the colon behind it.
func (s *scanner) name() (string, error) {
	if s.next() != '"' {
		return "", s.expect('"')
	}
	from := s.at
	if err := s.quoted(); err != nil {
		return "", err
	}
	var name string
	if err := json.Unmarshal(s.text[from:s.at], &name); err != nil {
		return "", err
	}
	return name, s.expect(':')
}

// value reads a value and returns its text.
func (s *scanner) value() (json.RawMessage, error) {
	c := s.next()
	from := s.at
	var err error
	switch c {
	case '"':
		err = s.quoted()
	case '{', '[':
		err = s.nested()
	default:
		s.literal()
	}
	if err == nil && s.at == from {
		err = fmt.Errorf("no value at byte %d", from)
	}
	return json.RawMessage(s.text[from:s.at:s.at]), err
}

// quoted reads a text in quotes.
func (s *scanner) quoted() error {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return nil
		}
	}
	s.at = len(s.text)
	return errEnd
}

// nested reads an object or an array to the bracket that closes it.
func (s *scanner) nested() error {
	for depth := 0; s.at < len(s.text); {
		switch s.text[s.at] {
		case '"':
			if err := s.quoted(); err != nil {
				return err
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.at++
		if depth == 0 {
			return nil
		}
	}
	return errEnd
}

// literal reads a number or a word, up to what may follow a value.
func (s *scanner) literal() {
	for s.at < len(s.text) && !bytes.ContainsRune([]byte(",:]} \t\r\n\"[{"), rune(s.text[s.at])) {
		s.at++
	}
}
