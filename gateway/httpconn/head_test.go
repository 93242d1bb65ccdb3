package httpconn

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
)

// doOnce sends one request to an upstream that responds with a text, and returns the response and the anomalies.
func doOnce(t *testing.T, text string) (*Response, []Anomaly, error) {
	t.Helper()
	address, _ := upstream(t, respondAndWait(text))
	var found []Anomaly
	c := newClient(t)
	c.onAnomaly = func(a Anomaly) { found = append(found, a) }
	response, err := c.Do(context.Background(), address, request("1"))
	if err == nil {
		t.Cleanup(response.Close) // the upstream waits for it if the test fails
	}
	return response, found, err
}

// assertMalformed checks that a response with a text is an error that says that the request may have run.
func assertMalformed(t *testing.T, text string) {
	t.Helper()
	response, found, err := doOnce(t, text)
	assert.Assert(t, fault.Is(err, fault.Ambiguous), "%+v, %v", response, err)
	assert.Assert(t, len(found) == 1 && found[0].Kind == Malformed, "%+v", found)
}

// TestAResponseWithoutAValidStatusIsAnError guards against statuses that the handler can't pass on: net/http reads them,
// and panics if they are sent.
func TestAResponseWithoutAValidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "+20", "-00", "600", "799", "999", "101", "20", "2000", "2xx", ""} {
		for _, rest := range []string{"", "Not-Run: 1\r\n"} {
			t.Run(status, func(t *testing.T) {
				assertMalformed(t, "HTTP/1.1 "+status+" Reason\r\nId: 1\r\n"+rest+"Content-Length: 2\r\n\r\nok")
			})
		}
	}
}

// TestValidStatusesArePassedOn: a status need not be registered.
func TestValidStatusesArePassedOn(t *testing.T) {
	for text, status := range map[string]int{"200": 200, "299": 299, "404": 404, "599": 599, "103 Early Hints\r\n\r\nHTTP/1.1 201": 201} {
		response, found, err := doOnce(t, "HTTP/1.1 "+text+"\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		assert.NilError(t, err)
		assert.Equal(t, response.Status, status)
		assert.Equal(t, readAll(t, response), "ok")
		assert.Equal(t, len(found), 0)
	}
}

// TestAHeadThatNetHTTPReadsOtherwiseIsAnError guards against fields that are overlooked, and with them the end of the body or
// the request that the response answers.
func TestAHeadThatNetHTTPReadsOtherwiseIsAnError(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string]string{
		"blank in a name":            status + "Id: 1\r\nX Field: a\r\nContent-Length: 2\r\n\r\nok",
		"blank behind a name":        status + "Id: 1\r\nX-Field : a\r\nContent-Length: 2\r\n\r\nok",
		"blank behind the length":    status + "Id: 1\r\nContent-Length : 2\r\n\r\nok",
		"blank behind the encoding":  status + "Id: 1\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank behind the ID":        status + "Id : 1\r\nContent-Length: 2\r\n\r\nok",
		"blank behind the rejection": status + "Id: 1\r\nNot-Run : 1\r\nContent-Length: 2\r\n\r\nok",
		"no name":                    status + "Id: 1\r\n: a\r\nContent-Length: 2\r\n\r\nok",
		"folded name":                status + "Id: 1\r\nContent-Length\r\n : 2\r\n\r\nok",
		"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"other version":              "HTTP/2.0 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"second head":                "HTTP/1.1 103 Early Hints\r\nX Field: a\r\n\r\n" + status + "Id: 1\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) { assertMalformed(t, text) })
	}
}

// TestAHeadThatNetHTTPDoesNotReadIsAnError: these were errors before the head was checked here.
func TestAHeadThatNetHTTPDoesNotReadIsAnError(t *testing.T) {
	const status, rest = "HTTP/1.1 200 OK\r\nId: 1\r\n", "\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range []string{"X\x00Field: a", "X\x01Field: a", "X\tField: a", "X-Field\t: a", "X\x7fField: a", "X\rField: a", "X(Field): a", "X\xffField: a",
		"X-Field: a\x00b", "X-Field: a\rb", "no colon", "Content-Length: 3", "Content-Length: -2", "Content-Length: +2", "Transfer-Encoding: gzip"} {
		t.Run(line, func(t *testing.T) { assertMalformed(t, status+line+rest) })
	}
	assertMalformed(t, "HTTP/1.1 200 OK\r\n folded\r\nId: 1"+rest)
}

// TestAFoldedValueIsRead: the lines of a value are joined by blanks, as RFC 9112 has it for gateways.
func TestAFoldedValueIsRead(t *testing.T) {
	for _, fold := range []string{"\r\n ", "\r\n\t", "\n  ", "\r\n \r\n "} {
		response, found, err := doOnce(t, "HTTP/1.1 200 OK\r\nX-Field: a"+fold+"Content-Length: 1\r\nId:"+fold+"1\r\nContent-Length:"+fold+"2\r\n\r\nok")
		assert.NilError(t, err)
		assert.DeepEqual(t, strings.Fields(response.Header.Get("X-Field")), []string{"a", "Content-Length:", "1"})
		assert.Equal(t, readAll(t, response), "ok")
		assert.Equal(t, len(found), 0)
	}
}

// TestATrailerDecidesNothing: the last chunk ends the body, and nothing of what follows is given to the caller.
func TestATrailerDecidesNothing(t *testing.T) {
	for _, trailer := range []string{"X-Field: a", "X Field: a", "Id: 2", "Id : 2", "Content-Length: 9", "Content-Length : 9", "Not-Run: 1"} {
		response, found, err := doOnce(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+trailer+"\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, response), "ok")
		assert.Equal(t, len(response.Header), 1, "%v", response.Header)
		assert.Equal(t, len(found), 0)
	}
}

// TestAHeadThatIsCutIsAnError: no beginning of a head is one, also behind an informational one.
func TestAHeadThatIsCutIsAnError(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\nId: 1\nX-Field: a\n b\n\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for end := range head {
			address, _ := upstream(t, respondWith(head[:end]))
			response, err := newClient(t).Do(context.Background(), address, request("1"))
			assert.Assert(t, fault.Is(err, fault.Ambiguous), "%q: %+v, %v", head[:end], response, err)
		}
	}
}
