package events

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestWholeEventsAreHandedOut(t *testing.T) {
	text := "id: 1\ndata: a\n\nx-weight-versions: 3\r\nid:2\r\ndata: b\r\n\r\n"
	r := NewReader(iotest.OneByteReader(strings.NewReader(text)))
	first, err := r.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(first.Bytes), "id: 1\ndata: a\n\n")
	assert.Equal(t, first.ID, "1")
	second, err := r.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(second.Bytes), "x-weight-versions: 3\r\nid:2\r\ndata: b\r\n\r\n")
	assert.Equal(t, second.ID, "2")
	_, err = r.Next()
	assert.Equal(t, err, io.EOF)
}

func TestEventsWithDataAreToldFromOthers(t *testing.T) {
	for text, want := range map[string]bool{
		"data: a\n\n": true, "id: 1\ndata\n\n": true, "data:\r\n\r\n": true,
		": data\n\n": false, "id: 1\n\n": false, "database: a\n\n": false, "\n": false,
	} {
		event, err := NewReader(strings.NewReader(text)).Next()
		assert.NilError(t, err)
		assert.Equal(t, event.HasData, want, "%q", text)
	}
}

func TestAPartOfAnEventIsSeen(t *testing.T) {
	for text, want := range map[string]bool{"": false, "data: a\n\n": false, "data: a\n\ni": true, "id: 1\n": true} {
		r := NewReader(strings.NewReader(text))
		_, err := r.Next()
		for err == nil {
			_, err = r.Next()
		}
		assert.Equal(t, r.WithinEvent(), want, "%q", text)
	}
}

func TestAPartOfAnEventIsNeverHandedOut(t *testing.T) {
	for _, text := range []string{"id: 1", "id: 1\n", "id: 1\ndata: a\n"} {
		_, err := NewReader(strings.NewReader(text)).Next()
		assert.Equal(t, err, io.ErrUnexpectedEOF, "%q", text)
	}
}

func TestLinesLongerThanTheBufferAreKeptWhole(t *testing.T) {
	text := "data: " + strings.Repeat("a", 10_000) + "\nid: 7\n\n"
	event, err := NewReader(strings.NewReader(text)).Next()
	assert.NilError(t, err)
	assert.Equal(t, string(event.Bytes), text)
	assert.Equal(t, event.ID, "7")
}

func TestIDsIncrease(t *testing.T) {
	for _, c := range []struct {
		last, id string
		want     bool
	}{
		{"", "1", true}, {"", "0", true}, {"1", "2", true}, {"1", "7", true}, {"9", "10", true}, {"0", "1", true},
		{"2", "2", false}, {"2", "1", false}, {"10", "9", false}, {"2", "02", false}, {"18446744073709551615", "0", false},
		{"2", "", true}, {"2", "a", true}, {"a", "1", true}, {"2", "-1", true}, {"2", "18446744073709551616", true},
		{"2", strings.Repeat("0", 20) + "1", true},
	} {
		assert.Equal(t, MayFollow(c.id, c.last), c.want, "%q after %q", c.id, c.last)
	}
}

// FuzzReader checks that the returned events, concatenated, are a prefix of the stream, and the
// whole stream if it ends after a complete event.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("\n\n\r\n")
	f.Add("data\r\r\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		whole := ""
		for {
			event, err := r.Next()
			if err == nil {
				whole += string(event.Bytes)
				continue
			}
			assert.Assert(t, strings.HasPrefix(text, whole))
			assert.Assert(t, err != io.EOF || whole == text)
			return
		}
	})
}
