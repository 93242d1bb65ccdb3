package httpconn

import (
	"context"
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
