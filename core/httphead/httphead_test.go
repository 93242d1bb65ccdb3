package httphead

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzCheck checks that Cut finds the end of a head where net/http does, and that Check accepts no head that CheckParsed
// refuses.
func FuzzCheck(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.0 404 \n\nA: b\n\n", "HTTP/1.1 000 x\r\n\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n d\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n", "HTTP/1.1 200 OK\r\n \r\n\r\n", "HTTP/1.1 101\r\n: a\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
		if err != nil {
			return
		}
		head, whole := Cut(text)
		assert.Assert(t, whole, "net/http found the end of a head")
		rest := text[len(head):]
		assert.Assert(t, bytes.HasPrefix(rest, []byte("\n")) || bytes.HasPrefix(rest, []byte("\r\n")))
		emptyLine := bytes.IndexByte(rest, '\n') + 1
		assert.Equal(t, len(rest)-emptyLine, reader.Buffered(), "net/http found another end")
		if Check(head) == nil {
			assert.NilError(t, CheckParsed(response.StatusCode, response.Header))
		}
	})
}
